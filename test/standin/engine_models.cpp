#include "standin/engine_models.hpp"

#include <algorithm>
#include <chrono>
#include <httplib.h>
#include <thread>
#include <utility>

namespace boragehill::standin {

namespace {

constexpr std::chrono::minutes fetch_timeout{10};

std::string base_of(const std::string& model) {
  return model.substr(0, model.find(':'));
}

const char* name_of(engine_model_state state) {
  switch (state) {
    case engine_model_state::loading:
      return "loading";
    case engine_model_state::unloading:
      return "unloading";
    case engine_model_state::ready:
      break;
  }
  return "ready";
}

Json::Int64 wall_clock_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

engine_models::engine_models(standin_settings given)
    : settings(std::move(given)),
      cache({this->settings.cached_memory, this->settings.memory_checkpoints},
            {this->settings.cached_disk, this->settings.disk_checkpoints}),
      history(Json::arrayValue) {}

int engine_models::carry_out(const Json::Value& order) {
  std::unique_lock lock(this->mutex);
  if (this->settings.check_fence && this->is_old(order)) {
    ++this->refused;
    return 409;
  }
  this->fence = order["fence"].asUInt64();
  this->sequence = order["sequence"].asUInt64();
  const std::string model = order["model"].asString();
  const std::string kind = order["kind"].asString();
  if (kind == "load") return this->load(lock, model, order["bytes"].asUInt64());
  if (kind == "unload") return this->unload(lock, model);
  return 400;
}

bool engine_models::is_old(const Json::Value& order) const {
  const std::uint64_t given = order["fence"].asUInt64();
  if (given != this->fence) return given < this->fence;
  return order["sequence"].asUInt64() <= this->sequence;
}

int engine_models::load(std::unique_lock<std::mutex>& lock,
                        const std::string& model, std::uint64_t bytes) {
  this->wait_until_settled(lock, model);
  if (this->is_held_ready(model)) return 200;
  const std::string base = base_of(model);
  if (base != model && !this->is_held_ready(base)) return 502;
  if (this->held_bytes() + bytes > this->settings.capacity_bytes) {
    ++this->overcommits;
    if (this->settings.check_fence || this->settings.enforce_memory) return 507;
  }
  this->hold(model, engine_model_state::loading, bytes);
  const checkpoint_tier tier = this->cache.tier_of(model);
  lock.unlock();
  const bool is_fetched = this->fetch(model, bytes, tier);
  lock.lock();
  this->changed.notify_all();
  if (!is_fetched) {
    this->held.erase(model);
    this->record("load_failed", model);
    return 502;
  }
  this->hold(model, engine_model_state::ready, bytes);
  this->cache.add(model);
  this->record("load", model);
  return 200;
}

int engine_models::unload(std::unique_lock<std::mutex>& lock,
                          const std::string& model) {
  this->wait_until_settled(lock, model);
  const auto found = this->held.find(model);
  if (found == this->held.end()) return 200;
  this->hold(model, engine_model_state::unloading, found->second.bytes);
  lock.unlock();
  std::this_thread::sleep_for(this->settings.unload);
  lock.lock();
  std::erase_if(this->held, [&model](const auto& item) {
    return item.first == model || base_of(item.first) == model;
  });
  this->record("unload", model);
  this->changed.notify_all();
  return 200;
}

bool engine_models::fetch(const std::string& model, std::uint64_t bytes,
                          checkpoint_tier tier) const {
  if (tier == checkpoint_tier::memory) {
    std::this_thread::sleep_for(this->settings.load_memory);
    return true;
  }
  if (tier == checkpoint_tier::disk || this->settings.weight_store.empty()) {
    std::this_thread::sleep_for(this->settings.load_disk);
    return true;
  }
  httplib::Client store("http://" + this->settings.weight_store);
  store.set_read_timeout(fetch_timeout);
  const httplib::Params params{{"model", model},
                               {"bytes", std::to_string(bytes)}};
  const auto answer = store.Get("/checkpoint", params, httplib::Headers{});
  return answer && answer->status == 200;
}

void engine_models::wait_until_settled(std::unique_lock<std::mutex>& lock,
                                       const std::string& model) {
  this->changed.wait(lock, [this, &model] {
    const auto found = this->held.find(model);
    return found == this->held.end() ||
           found->second.state == engine_model_state::ready;
  });
}

bool engine_models::is_ready(const std::string& model) {
  const std::scoped_lock lock(this->mutex);
  return this->is_held_ready(model) && this->is_held_ready(base_of(model));
}

bool engine_models::is_held_ready(const std::string& model) const {
  const auto found = this->held.find(model);
  return found != this->held.end() &&
         found->second.state == engine_model_state::ready;
}

std::uint64_t engine_models::held_bytes() const {
  std::uint64_t sum = 0;
  for (const auto& [name, model] : this->held) sum += model.bytes;
  return sum;
}

void engine_models::hold(const std::string& model, engine_model_state state,
                         std::uint64_t bytes) {
  this->held.insert_or_assign(
      model, engine_model{.name = model, .state = state, .bytes = bytes});
  this->max_held = std::max(this->max_held, this->held_bytes());
}

void engine_models::record(const std::string& kind, const std::string& model) {
  Json::Value event;
  event["kind"] = kind;
  event["model"] = model;
  event["at_ms"] = wall_clock_ms();
  this->history.append(event);
}

void engine_models::add_state(Json::Value& body) {
  const std::scoped_lock lock(this->mutex);
  body["capacity_bytes"] = Json::UInt64{this->settings.capacity_bytes};
  body["models"] = this->models_json();
  body["cached"] = this->cache.json();
}

void engine_models::add_truth(Json::Value& body) {
  const std::scoped_lock lock(this->mutex);
  body["models"] = this->models_json();
  body["held_bytes"] = Json::UInt64{this->held_bytes()};
  body["max_held_bytes"] = Json::UInt64{this->max_held};
  body["orders_refused"] = Json::UInt64{this->refused};
  body["overcommit_attempts"] = Json::UInt64{this->overcommits};
  body["history"] = this->history;
}

Json::Value engine_models::models_json() const {
  Json::Value list(Json::arrayValue);
  for (const auto& [name, model] : this->held) {
    Json::Value item;
    item["name"] = name;
    item["state"] = name_of(model.state);
    item["bytes"] = Json::UInt64{model.bytes};
    list.append(item);
  }
  return list;
}

}  // namespace boragehill::standin
