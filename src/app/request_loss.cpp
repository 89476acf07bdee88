#include "app/request_loss.hpp"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <limits>

namespace boragehill::app {

namespace {

constexpr std::int64_t first_failure_status = 300;

std::int64_t number_in(const log_line& line, const std::string& key) {
  std::int64_t number = 0;
  return absl::SimpleAtoi(line.field(key), &number) ? number : 0;
}

/// Where the request was when its caller hung up.
std::string where_left(const log_line& line) {
  if (number_in(line, "sends") == 0) return "left: waiting for a server";
  if (number_in(line, "first_ms") < 0) return "left: at the server";
  return "left: in the answer";
}

std::string cause_of_answer(const log_line& line) {
  if (number_in(line, "status") >= first_failure_status) {
    return "failed by the server";
  }
  const auto objective = number_in(line, "objective_ms");
  const auto gap_objective = number_in(line, "gap_objective_ms");
  if (objective > 0 && number_in(line, "first_ms") > objective) {
    const bool waited = number_in(line, "waited_ms") > objective / 2;
    return waited ? "late: waited for a server" : "late: at the server";
  }
  if (gap_objective > 0 && number_in(line, "gap_ms") > gap_objective) {
    return "late: paused";
  }
  return {};
}

}  // namespace

std::string cause_of(const log_line& line) {
  if (line.name == "request_answered") return cause_of_answer(line);
  if (line.name == "caller_hung_up") return where_left(line);
  if (line.name == "request_refused") {
    return "refused: " + line.field("reason");
  }
  if (line.name == "answer_broken") return "broken: " + line.field("reason");
  if (line.name == "outcome_unknown") return "unknown: " + line.field("reason");
  return {};
}

std::map<request_loss, int> losses_of(const std::vector<log_line>& lines,
                                      int span_seconds) {
  std::int64_t begin = std::numeric_limits<std::int64_t>::max();
  for (const auto& line : lines) begin = std::min(begin, line.time_ms);
  const std::int64_t span_ms = std::int64_t{span_seconds} * 1000;
  std::map<request_loss, int> losses;
  for (const auto& line : lines) {
    const auto cause = cause_of(line);
    if (cause.empty()) continue;
    const auto came = line.time_ms - number_in(line, "all_ms") - begin;
    const auto second =
        std::max<std::int64_t>(came, 0) / span_ms * span_seconds;
    ++losses[{second, line.field("route"), cause}];
  }
  return losses;
}

}  // namespace boragehill::app
