#include "router/router_settings.hpp"

#include "kernel/settings_document.hpp"

namespace boragehill::router {

namespace {

using kernel::settings_document;
using kernel::settings_section;

constexpr milliseconds shortest{1};
constexpr milliseconds minute{60000};
constexpr milliseconds hour{3600000};
constexpr milliseconds week = hour * 168;
constexpr std::int64_t many = 1000000;

service_settings read_service(settings_document& document,
                              std::string_view name) {
  auto section = document.section(name);
  const service_settings defaults;
  return {.plugin = section.text("plugin", "http"),
          .settings = {
              .address = section.address("address", std::nullopt),
              .timeout = section.duration(
                  "timeout_ms", defaults.settings.timeout, shortest, minute)}};
}

std::size_t read_size(settings_section& section, std::string_view key,
                      std::size_t fallback, std::int64_t most) {
  const auto wide = static_cast<std::int64_t>(fallback);
  return static_cast<std::size_t>(section.number(key, wide, 1, most));
}

void read_identity(settings_section& section, router_settings& settings) {
  settings.id = section.text("id", std::nullopt);
  if (settings.id.find('.') != std::string::npos) {
    section.report(result_code::settings_out_of_range, "id",
                   "an id holds no '.'");
  }
  settings.region = section.text("region", std::nullopt);
  settings.failure_domain = section.text("failure_domain", std::nullopt);
  settings.callers = section.address("callers", std::nullopt);
  settings.control = section.address("control", std::nullopt);
  settings.admin = section.address("admin", std::nullopt);
  settings.admin_token_file = section.text("admin_token_file", std::nullopt);
  settings.trace_file = section.text("trace_file", settings.trace_file);
}

void read_limits(settings_section& section, router_settings& settings) {
  constexpr std::int64_t most_threads = 4096;
  constexpr std::int64_t most_body = std::int64_t{1} << 30;
  settings.caller_threads = read_size(section, "caller_threads",
                                      settings.caller_threads, most_threads);
  settings.caller_waiting =
      read_size(section, "caller_waiting", settings.caller_waiting, many);
  settings.max_body_bytes =
      read_size(section, "max_body_bytes", settings.max_body_bytes, most_body);
  settings.default_deadline = section.duration(
      "default_deadline_ms", settings.default_deadline, shortest, hour);
  settings.lame_duck = section.duration("lame_duck_ms", settings.lame_duck,
                                        milliseconds{0}, minute);
  settings.drain =
      section.duration("drain_ms", settings.drain, milliseconds{0}, hour);
  settings.retry_share =
      section.real("retry_share", settings.retry_share, 0.0, 1.0);
  settings.retry_burst = section.real("retry_burst", settings.retry_burst, 0.0,
                                      static_cast<double>(many));
  settings.call_timeout = section.duration(
      "call_timeout_ms", settings.call_timeout, shortest, minute);
}

void read_polls(settings_section& section, router_settings& settings) {
  settings.vm_poll =
      section.duration("vm_poll_ms", settings.vm_poll, shortest, minute);
  settings.catalog_poll = section.duration(
      "catalog_poll_ms", settings.catalog_poll, shortest, minute);
  settings.heartbeat =
      section.duration("heartbeat_ms", settings.heartbeat, shortest, minute);
  settings.heartbeat_peers =
      read_size(section, "heartbeat_peers", settings.heartbeat_peers, 64);
  settings.renew =
      section.duration("renew_ms", settings.renew, shortest, minute);
  settings.placement_poll = section.duration(
      "placement_poll_ms", settings.placement_poll, shortest, hour);
  settings.members.suspect_for = section.duration(
      "suspect_for_ms", settings.members.suspect_for, shortest, hour);
  settings.members.removal_delay = section.duration(
      "gone_after_ms", settings.members.removal_delay, shortest, hour);
}

void read_home(settings_section section, router_settings& settings) {
  auto& home = settings.home;
  home.queue_total = read_size(section, "queue_total", home.queue_total, many);
  home.queue_per_target =
      read_size(section, "queue_per_target", home.queue_per_target, many);
  home.permit_allowance = section.duration(
      "permit_allowance_ms", home.permit_allowance, shortest, minute);
  home.report_timeout = section.duration("report_silence_ms",
                                         home.report_timeout, shortest, minute);
  home.server_cooldown = section.duration(
      "server_cooldown_ms", home.server_cooldown, shortest, minute);
  home.load_confirm_timeout = section.duration(
      "wake_confirm_ms", home.load_confirm_timeout, shortest, minute);
  home.initial_load_time[0] = section.duration(
      "load_memory_ms", home.initial_load_time[0], shortest, hour);
  home.initial_load_time[1] = section.duration(
      "load_disk_ms", home.initial_load_time[1], shortest, hour);
  home.initial_load_time[2] = section.duration(
      "load_remote_ms", home.initial_load_time[2], shortest, hour);
  home.initial_run_time =
      section.duration("run_time_ms", home.initial_run_time, shortest, hour);
  home.max_parallel_loads = static_cast<std::uint32_t>(
      section.number("parallel_loads", home.max_parallel_loads, 1, 1000));
  home.scale_out_wait = section.duration("scale_out_wait_ms",
                                         home.scale_out_wait, shortest, hour);
}

void read_flow(settings_section section, router_settings& settings) {
  auto& flow = settings.flow;
  flow.max_attempts = static_cast<std::uint32_t>(
      section.number("max_attempts", flow.max_attempts, 1, 100));
  flow.max_homes = read_size(section, "max_homes", flow.max_homes, 100);
  flow.backoff_base =
      section.duration("backoff_base_ms", flow.backoff_base, shortest, minute);
  flow.backoff_cap =
      section.duration("backoff_cap_ms", flow.backoff_cap, shortest, minute);
  flow.default_retry_after = section.duration(
      "default_retry_after_ms", flow.default_retry_after, shortest, hour);
}

void read_rest(settings_document& document, router_settings& settings) {
  auto once = document.section("once");
  settings.once_retention =
      once.duration("retention_ms", settings.once_retention, minute, week);
  settings.inline_answer_bytes = read_size(once, "inline_answer_bytes",
                                           settings.inline_answer_bytes, many);
  auto revision = document.section("revision");
  settings.revision.max_confirmation_age =
      revision.duration("confirm_within_ms",
                        settings.revision.max_confirmation_age, shortest, hour);
  settings.revision.pause_threshold = revision.duration(
      "pause_limit_ms", settings.revision.pause_threshold, shortest, hour);
  auto strikes = document.section("strikes");
  settings.strikes.retention =
      strikes.duration("keep_ms", settings.strikes.retention, shortest, week);
  settings.strikes.capacity =
      read_size(strikes, "capacity", settings.strikes.capacity, many);
}

}  // namespace

router_settings read_router_settings(settings_document& document) {
  router_settings settings;
  auto section = document.section("router");
  read_identity(section, settings);
  read_limits(section, settings);
  read_polls(section, settings);
  read_home(document.section("home"), settings);
  read_flow(document.section("flow"), settings);
  settings.flow.status_query_timeout = settings.call_timeout;
  read_rest(document, settings);
  settings.table = read_service(document, "table");
  settings.objects = read_service(document, "object_store");
  settings.vms = read_service(document, "vm_list");
  return settings;
}

}  // namespace boragehill::router
