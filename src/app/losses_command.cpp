// `losses`: where requests were lost or late, from logs alone.

#include <absl/flags/flag.h>
#include <iostream>

#include "app/command_registry.hpp"
#include "app/log_file.hpp"
#include "app/output.hpp"
#include "app/request_loss.hpp"

// NOLINTNEXTLINE(readability-identifier-naming)
ABSL_FLAG(int, span, 2, "seconds that a row of `losses` covers");

namespace boragehill::app {

namespace {

using loss_counts = std::map<request_loss, int>;

void print_losses_json(const loss_counts& losses) {
  Json::Value list(Json::arrayValue);
  for (const auto& [loss, requests] : losses) {
    Json::Value row;
    row["second"] = Json::Int64(loss.second);
    row["route"] = loss.route;
    row["cause"] = loss.cause;
    row["requests"] = requests;
    list.append(row);
  }
  print_json(list);
}

void print_losses(const loss_counts& losses) {
  if (wants_json()) return print_losses_json(losses);
  std::vector<std::vector<std::string>> rows{
      {"SECOND", "ROUTE", "REQUESTS", "CAUSE"}};
  for (const auto& [loss, requests] : losses) {
    rows.push_back({std::to_string(loss.second), loss.route,
                    std::to_string(requests), loss.cause});
  }
  print_table(rows);
}

exit_code run_losses(const std::vector<std::string>& arguments) {
  const int span = absl::GetFlag(FLAGS_span);
  if (!arguments.empty() || !wants_log() || span < 1) {
    std::cerr << "boragehill: losses takes --log FILE|- and --span SECONDS\n";
    return exit_code::usage;
  }
  const auto lines = read_log();
  if (!lines) return exit_code::usage;
  print_losses(losses_of(*lines, span));
  return exit_code::ok;
}

const command_registrar losses_command{
    {.name = "losses",
     .usage = "losses --log FILE|- [--span SECONDS] [--output json]",
     .summary = "sum up lost and late requests by time, route and cause",
     .flags = {"log", "span", "output"},
     .run = run_losses}};

}  // namespace

}  // namespace boragehill::app
