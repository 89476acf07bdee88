#include "router/profile_toml.hpp"

#include "kernel/settings_document.hpp"

namespace boragehill::router {

namespace {

using kernel::settings_document;
using kernel::settings_section;

constexpr milliseconds longest_wait{3600000};
constexpr std::int64_t most_replicas = 10000;
constexpr std::int64_t most_bytes = std::int64_t{1} << 50;
constexpr double greatest_weight = 1e6;

bool is_plain_name(const std::string& name) {
  constexpr std::string_view forbidden = "/:\"\\ \t\r\n";
  return !name.empty() && name.find_first_of(forbidden) == std::string::npos;
}

std::string read_name(settings_section& section, std::string_view key) {
  std::string name = section.text(key, std::nullopt);
  if (!name.empty() && !is_plain_name(name)) {
    section.report(result_code::settings_out_of_range, key,
                   "a name holds no '/', ':', quote or space");
  }
  return name;
}

std::uint32_t read_count(settings_section& section, std::string_view key,
                         std::uint32_t fallback) {
  return static_cast<std::uint32_t>(
      section.number(key, fallback, 0, most_replicas));
}

profile_model read_model(settings_section section) {
  profile_model model;
  model.name = read_name(section, "name");
  model.bytes = static_cast<std::uint64_t>(
      section.number("bytes", std::nullopt, 1, most_bytes));
  model.adapters = section.texts("adapters", model.adapters);
  model.adapter_bytes = static_cast<std::uint64_t>(
      section.number("adapter_bytes", 0, 0, most_bytes));
  model.replicas = read_count(section, "replicas", model.replicas);
  model.max_replicas = read_count(section, "max_replicas", model.replicas);
  model.warm = read_count(section, "warm", model.warm);
  if (model.max_replicas < model.replicas) {
    section.report(result_code::settings_out_of_range, "max_replicas",
                   "is less than replicas");
  }
  if (model.warm > model.replicas) {
    section.report(result_code::settings_out_of_range, "warm",
                   "is more than replicas");
  }
  return model;
}

once_rule read_rule(settings_section section) {
  return {.method = section.text("method", "*"),
          .path = section.text("path", std::nullopt)};
}

}  // namespace

profile_draft read_profile(const std::string& text, const std::string& file) {
  auto document = settings_document::parse(text, file);
  profile_draft result;
  profile& draft = result.draft;
  auto section = document.section("profile");
  draft.name = read_name(section, "name");
  draft.services =
      section.texts("services", std::vector<std::string>{draft.name});
  draft.pools = section.texts("pools", draft.pools);
  draft.max_wait = section.duration("max_wait_ms", draft.max_wait,
                                    milliseconds{1}, longest_wait);
  draft.priority = static_cast<std::int32_t>(
      section.number("priority", draft.priority, -100, 100));
  draft.cold_start_weight = section.real(
      "cold_start_weight", draft.cold_start_weight, 0, greatest_weight);
  draft.idle_weight =
      section.real("idle_weight", draft.idle_weight, 0, greatest_weight);
  for (auto& model : document.sections("model")) {
    draft.models.push_back(read_model(model));
  }
  for (auto& rule : document.sections("once")) {
    draft.non_idempotent.push_back(read_rule(rule));
  }
  result.problems = document.finish();
  return result;
}

}  // namespace boragehill::router
