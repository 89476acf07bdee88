#include "serve/entry_settings.hpp"

#include "kernel/settings_document.hpp"

namespace boragehill::serve {

namespace {

milliseconds seconds_read(kernel::settings_section& section, const char* key,
                          double fallback, double most, double least = 0) {
  constexpr double ms_per_second = 1000;
  return milliseconds(static_cast<std::int64_t>(
      section.real(key, fallback, least, most) * ms_per_second));
}

void read_planner(kernel::settings_document& document,
                  decide::planner_settings& planner) {
  auto section = document.section("planner");
  planner.initial_store_loads = static_cast<int>(
      section.number("store_loads", planner.initial_store_loads, 1, 1000));
  planner.requests_per_replica = section.real(
      "requests_per_replica", planner.requests_per_replica, 1, 1000);
  constexpr double most_utilization = 1000;
  planner.max_holder_utilization =
      section.real("holder_utilization", planner.max_holder_utilization, 0,
                   most_utilization);
  planner.max_kept_utilization = section.real(
      "kept_utilization", planner.max_kept_utilization, 0, most_utilization);
  planner.scale_out_load_ratio =
      section.real("relief", planner.scale_out_load_ratio, 0, 1);
  constexpr milliseconds longest(60000);
  planner.min_residency = section.duration("settle_ms", planner.min_residency,
                                           milliseconds(0), longest);
  planner.starvation_wait = section.duration(
      "starved_ms", planner.starvation_wait, milliseconds(0), longest);
  planner.observation_period = section.duration(
      "observe_ms", planner.observation_period, milliseconds(0), longest);
  planner.first_report_timeout = section.duration(
      "acquaint_ms", planner.first_report_timeout, milliseconds(0), longest);
  constexpr double most_loss_s = 1000000;
  planner.min_preload_gain_seconds = section.real(
      "stock_gain_s", planner.min_preload_gain_seconds, 0, most_loss_s);
  planner.max_idle_eviction_cost_seconds = section.real(
      "idle_loss_s", planner.max_idle_eviction_cost_seconds, 0, most_loss_s);
}

void read_budget(kernel::settings_document& document,
                 decide::windowed_retry_budget_settings& budget) {
  constexpr double most_seconds = 3600;
  auto section = document.section("retries");
  budget.retries_per_request =
      section.real("ratio", budget.retries_per_request, 0, 1);
  budget.constant_retries =
      section.real("extra", budget.constant_retries, 0, 1000000);
  budget.window = seconds_read(section, "window_s", 10, most_seconds);
}

void read_quotas(kernel::settings_document& document,
                 decide::quota_settings& quotas) {
  constexpr double least_window_s = 1;
  constexpr double most_window_s = 3600;
  constexpr double most_slack = 1000000000;
  auto section = document.section("quotas");
  quotas.window = seconds_read(section, "window_s", seconds_of(quotas.window),
                               most_window_s, least_window_s);
  quotas.over = section.real("over", quotas.over, 0, 1);
  quotas.slack = section.real("slack", quotas.slack, 0, most_slack);
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
  settings.unread.server_tokens = static_cast<int>(entry.number(
      "unread_prompt_tokens", settings.unread.server_tokens, 0, most_tokens));
  settings.unread.late_request_tokens = static_cast<int>(
      entry.number("late_prompt_tokens", settings.unread.late_request_tokens, 0,
                   most_tokens));
  read_budget(document, settings.budget);
  read_quotas(document, settings.quotas);
  read_planner(document, settings.planner);
  return settings;
}

}  // namespace boragehill::serve
