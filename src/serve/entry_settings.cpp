#include "serve/entry_settings.hpp"

#include "kernel/settings_document.hpp"

namespace boragehill::serve {

namespace {

milliseconds seconds_read(kernel::settings_section& section, const char* key,
                          double fallback, double most) {
  constexpr double ms_per_second = 1000;
  return milliseconds(static_cast<std::int64_t>(
      section.real(key, fallback, 0, most) * ms_per_second));
}

void read_planner(kernel::settings_document& document,
                  decide::planner_settings& planner) {
  auto section = document.section("planner");
  planner.store_loads = static_cast<int>(
      section.number("store_loads", planner.store_loads, 1, 1000));
  planner.requests_per_replica = section.real(
      "requests_per_replica", planner.requests_per_replica, 1, 1000);
  planner.relief = section.real("relief", planner.relief, 0, 1);
  constexpr milliseconds longest(60000);
  planner.settle =
      section.duration("settle_ms", planner.settle, milliseconds(0), longest);
  planner.starved =
      section.duration("starved_ms", planner.starved, milliseconds(0), longest);
  planner.observe =
      section.duration("observe_ms", planner.observe, milliseconds(0), longest);
  planner.acquaint = section.duration("acquaint_ms", planner.acquaint,
                                      milliseconds(0), longest);
  constexpr double most_loss_s = 1000000;
  planner.stock_gain =
      section.real("stock_gain_s", planner.stock_gain, 0, most_loss_s);
  planner.idle_loss =
      section.real("idle_loss_s", planner.idle_loss, 0, most_loss_s);
}

void read_budget(kernel::settings_document& document,
                 decide::send_budget_settings& budget) {
  constexpr double most_seconds = 3600;
  auto section = document.section("retries");
  budget.ratio = section.real("ratio", budget.ratio, 0, 1);
  budget.extra = section.real("extra", budget.extra, 0, 1000000);
  budget.window = seconds_read(section, "window_s", 10, most_seconds);
}

}  // namespace

entry_settings read_entry_settings(kernel::settings_document& document) {
  constexpr double most_seconds = 3600;
  entry_settings settings;
  read_node_settings(document, settings);
  auto process = document.section("process");
  settings.failure_domain = process.text("failure_domain", std::nullopt);
  auto entry = document.section("entry");
  settings.listen = entry.address("listen", std::nullopt);
  settings.ready = entry.address("ready", std::nullopt);
  settings.stop_within = seconds_read(entry, "stop_within_s", 8, most_seconds);
  constexpr double most_mbps = 10000000;
  settings.link_mbps =
      process.real("link_mbps", settings.link_mbps, 0, most_mbps);
  constexpr double least_memory_mb = 1;
  constexpr double most_memory_mb = 1000000;
  settings.memory_mb = process.real("memory_mb", settings.memory_mb,
                                    least_memory_mb, most_memory_mb);
  settings.queue_share = entry.real("queue_share", settings.queue_share, 0, 10);
  constexpr int most_tokens = 1000000000;
  settings.unread.at_server = static_cast<int>(entry.number(
      "unread_prompt_tokens", settings.unread.at_server, 0, most_tokens));
  settings.unread.late = static_cast<int>(
      entry.number("late_prompt_tokens", settings.unread.late, 0, most_tokens));
  read_budget(document, settings.budget);
  read_planner(document, settings.planner);
  return settings;
}

}  // namespace boragehill::serve
