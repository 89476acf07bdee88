#include "agent/agent_settings.hpp"

#include <boragehill/result_code.hpp>

#include "kernel/settings_section.hpp"

namespace boragehill::agent {

namespace {

constexpr milliseconds one_minute{60000};
constexpr milliseconds one_hour{3600000};
constexpr std::int64_t most_kept_bytes = std::int64_t{1} << 30;
constexpr std::int64_t most_slots = 4096;

plugin_choice read_plugin(kernel::settings_section& section,
                          const std::string& fallback) {
  return {
      .plugin = section.text("plugin", fallback),
      .settings = {.address = section.address("address", std::nullopt),
                   .timeout = section.duration("timeout_ms", milliseconds(2000),
                                               milliseconds(1), one_minute)}};
}

server_kind read_kind(kernel::settings_section& section) {
  const std::string kind = section.text("kind", "model");
  if (kind == "plain") return server_kind::plain;
  if (kind != "model") {
    section.report(result_code::settings_out_of_range, "kind",
                   "must be \"model\" or \"plain\"");
  }
  return server_kind::model;
}

}  // namespace

agent_settings read_agent_settings(kernel::settings_document& document) {
  auto agent = document.section("agent");
  auto backend = document.section("backend");
  auto table = document.section("table");
  auto vm_list = document.section("vm_list");
  auto trace = document.section("trace");
  const milliseconds none(0);
  const milliseconds least(10);
  const agent_settings defaults;
  const endpoint control = agent.address("control", std::nullopt);
  const endpoint data = agent.address("data", std::nullopt);
  const server_kind kind = read_kind(agent);
  const std::string engine =
      kind == server_kind::plain ? "plain_service" : "model_engine";
  return {
      .id = agent.text("id", std::nullopt),
      .failure_domain = agent.text("failure_domain", std::nullopt),
      .region = agent.text("region", ""),
      .pool = agent.text("pool", ""),
      .kind = kind,
      .control = control,
      .data = data,
      .advertised_control = agent.address("advertised_control", control),
      .advertised_data = agent.address("advertised_data", data),
      .report_interval = agent.duration(
          "report_interval_ms", defaults.report_interval, least, one_minute),
      .wait_out =
          agent.duration("wait_out_ms", defaults.wait_out, none, one_hour),
      .engine_checks_fence =
          agent.flag("engine_checks_fence", defaults.engine_checks_fence),
      .slots =
          static_cast<std::uint32_t>(agent.number("slots", 0, 0, most_slots)),
      .retention =
          agent.duration("retention_ms", defaults.retention, least, one_hour),
      .kept_answer_bytes = static_cast<std::size_t>(
          agent.number("kept_answer_bytes",
                       static_cast<std::int64_t>(defaults.kept_answer_bytes), 0,
                       most_kept_bytes)),
      .drain = agent.duration("drain_ms", defaults.drain, none, one_hour),
      .backend = read_plugin(backend, engine),
      .table = read_plugin(table, "http"),
      .vm_list = read_plugin(vm_list, "http"),
      .vm_list_poll =
          vm_list.duration("poll_ms", defaults.vm_list_poll, least, one_minute),
      .trace_file = trace.text("file", ""),
  };
}

}  // namespace boragehill::agent
