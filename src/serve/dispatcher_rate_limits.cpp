// What the dispatcher does about servers that limit the rate of requests.

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "fleet/answer_fields.hpp"
#include "kernel/event_log.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

/// More at a time would expire unused.
constexpr int most_needed_tokens = 8;

}  // namespace

void dispatcher::take_rate_limit(const std::string& server,
                                 const fleet::answer_fields& answer,
                                 const std::string& by) {
  // A response that isn't the server's own work may lack the header.
  if (!answer.rate_limit && !answer.stamped) return;
  const bool is_news = this->rate_limited.on_announcement(
      {.server = server, .limit = answer.rate_limit}, time_point::clock::now());
  if (!is_news) return;
  kernel::log_event(
      kernel::event::server_rate_limited,
      {{"server", server},
       {"request", by},
       {"limit", answer.rate_limit ? absl::StrCat(*answer.rate_limit)
                                   : std::string("none")}});
}

decide::rate_limit_report dispatcher::take_rate_limit_report() {
  decide::rate_limit_report report{.announcements =
                                       this->rate_limited.take_announcements()};
  if (this->rate_limited.empty()) return report;
  const auto now = time_point::clock::now();
  std::map<std::string, int> needed;
  for (const auto& [key, line] : this->lines) {
    if (line.empty()) continue;
    const auto servers = this->limited_servers_for(*line.front(), now);
    if (servers.empty()) continue;
    const auto share = (line.size() + servers.size() - 1) / servers.size();
    for (const auto& id : servers) needed[id] += static_cast<int>(share);
  }
  for (const auto& [id, count] : needed) {
    const int missing = std::min(count, most_needed_tokens) -
                        this->rate_limited.tokens(id, now);
    if (missing > 0) report.needed.push_back({.server = id, .count = missing});
  }
  return report;
}

std::vector<std::string> dispatcher::limited_servers_for(
    const exchange& request, time_point now) const {
  std::vector<std::string> found;
  for (const auto& [id, server] : this->servers) {
    if (!this->is_available(server, request, now)) continue;
    if (this->rate_limited.limit(id)) found.push_back(id);
  }
  return found;
}

milliseconds dispatcher::rate_limit_wait(const exchange& request,
                                         time_point now) const {
  if (this->rate_limited.empty()) return milliseconds(0);
  double rate = 0;
  for (const auto& [id, server] : this->servers) {
    if (!this->is_available(server, request, now)) continue;
    const auto limit = this->rate_limited.limit(id);
    // One without a limit, or with a token, waits for room only.
    if (!limit || this->rate_limited.tokens(id, now) > 0) {
      return milliseconds(0);
    }
    rate += limit->token_rate() / std::max(limit->waiting_routers, 1);
  }
  if (rate == 0) return milliseconds(0);
  const auto ahead = static_cast<double>(this->requests_ahead(request));
  const std::chrono::duration<double> wait((ahead + 1) / rate);
  return std::chrono::ceil<milliseconds>(wait);
}

std::size_t dispatcher::requests_ahead(const exchange& request) const {
  const auto found = this->lines.find(key_of(request));
  if (found == this->lines.end()) return 0;
  const auto& line = found->second;
  const auto position =
      std::find_if(line.begin(), line.end(),
                   [&](const auto& each) { return each.get() == &request; });
  return static_cast<std::size_t>(position - line.begin());
}

}  // namespace boragehill::serve
