#include "standin/weight_store_standin.hpp"

#include <algorithm>

#include "standin/standin_settings.hpp"

namespace boragehill::standin {

weight_store_standin::weight_store_standin(const standin_settings& settings,
                                           standin_server& server)
    : parallel(settings.parallel),
      full_load(settings.load),
      last(std::chrono::steady_clock::now()) {
  server.on("GET", "/checkpoint", [this](const auto&, auto& response) {
    this->load();
    reply(response, 200, Json::Value(Json::objectValue));
  });
  server.on_truth([this] { return this->truth(); });
}

void weight_store_standin::load() {
  std::unique_lock lock(this->mutex);
  this->advance();
  const auto mine = this->active.insert(this->active.end(), this->full_load);
  this->most_active = std::max(this->most_active, this->active.size());
  this->changed.notify_all();
  while (mine->count() > 0) {
    this->changed.wait_for(lock, *mine / this->speed());
    this->advance();
  }
  this->active.erase(mine);
  ++this->done;
  this->changed.notify_all();
}

double weight_store_standin::speed() const {
  const auto loads = static_cast<double>(this->active.size());
  return std::min(1.0, this->parallel / std::max(1.0, loads));
}

void weight_store_standin::advance() {
  const auto now = std::chrono::steady_clock::now();
  const work passed = (now - this->last) * this->speed();
  this->last = now;
  for (work& left : this->active) left -= passed;
}

Json::Value weight_store_standin::truth() {
  const std::scoped_lock lock(this->mutex);
  Json::Value body;
  body["active"] = Json::UInt64{this->active.size()};
  body["most_active"] = Json::UInt64{this->most_active};
  body["done"] = Json::UInt64{this->done};
  return body;
}

}  // namespace boragehill::standin
