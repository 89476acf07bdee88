#include "engine/engine_json.hpp"

#include <utility>

#include <boragehill/engine_order.hpp>
#include <boragehill/engine_state.hpp>

#include "kernel/json_text.hpp"

namespace boragehill::engine {

namespace {

std::optional<engine_model_state> model_state_of(const std::string& text) {
  if (text == "loading") return engine_model_state::loading;
  if (text == "ready") return engine_model_state::ready;
  if (text == "unloading") return engine_model_state::unloading;
  return std::nullopt;
}

std::optional<checkpoint_tier> tier_of(const std::string& text) {
  if (text == "memory") return checkpoint_tier::memory;
  if (text == "disk") return checkpoint_tier::disk;
  return std::nullopt;
}

std::optional<engine_model> model_of(const Json::Value& value) {
  if (!value.isObject() || !value["name"].isString()) return std::nullopt;
  if (!value["state"].isString() || !value["bytes"].isUInt64()) {
    return std::nullopt;
  }
  const auto state = model_state_of(value["state"].asString());
  if (!state) return std::nullopt;
  return engine_model{.name = value["name"].asString(),
                      .state = *state,
                      .bytes = value["bytes"].asUInt64()};
}

using models = std::vector<engine_model>;
using tiers = std::map<std::string, checkpoint_tier>;

/// Reads every model or none: a model left out would be memory left out.
std::optional<models> models_of(const Json::Value& list) {
  if (!list.isArray()) return std::nullopt;
  models found;
  for (const Json::Value& item : list) {
    auto model = model_of(item);
    if (!model) return std::nullopt;
    found.push_back(std::move(*model));
  }
  return found;
}

std::optional<tiers> tiers_of(const Json::Value& object) {
  if (!object.isNull() && !object.isObject()) return std::nullopt;
  tiers found;
  for (const std::string& name : object.getMemberNames()) {
    if (!object[name].isString()) return std::nullopt;
    const auto tier = tier_of(object[name].asString());
    if (tier) found.emplace(name, *tier);
  }
  return found;
}

bool has_load(const Json::Value& value) {
  return value.isObject() && value["incarnation"].isString() &&
         value["slots"].isUInt() && value["running"].isUInt();
}

}  // namespace

std::optional<engine_state> parse_engine_state(std::string_view text) {
  const auto read = kernel::parse_json(text);
  if (!read || !has_load(*read)) return std::nullopt;
  const Json::Value& value = *read;
  if (!value["capacity_bytes"].isUInt64()) return std::nullopt;
  auto held = models_of(value["models"]);
  auto cached = tiers_of(value["cached"]);
  if (!held || !cached) return std::nullopt;
  return engine_state{.incarnation = value["incarnation"].asString(),
                      .capacity_bytes = value["capacity_bytes"].asUInt64(),
                      .slots = value["slots"].asUInt(),
                      .models = std::move(*held),
                      .cached = std::move(*cached),
                      .running = value["running"].asUInt()};
}

std::optional<engine_state> parse_service_state(std::string_view text) {
  const auto read = kernel::parse_json(text);
  if (!read || !has_load(*read)) return std::nullopt;
  const Json::Value& value = *read;
  return engine_state{.incarnation = value["incarnation"].asString(),
                      .capacity_bytes = 0,
                      .slots = value["slots"].asUInt(),
                      .models = {},
                      .cached = {},
                      .running = value["running"].asUInt()};
}

std::string write_order(const engine_order& order) {
  Json::Value value;
  value["kind"] = order.kind == order_kind::load ? "load" : "unload";
  value["model"] = order.model;
  value["bytes"] = Json::UInt64{order.bytes};
  value["fence"] = Json::UInt64{order.fence};
  value["sequence"] = Json::UInt64{order.sequence};
  return kernel::write_json(value);
}

}  // namespace boragehill::engine
