#include "decide/fleet_view.hpp"

#include <utility>

namespace boragehill::decide {

namespace {

std::vector<fleet::resident_model> list_kept_models(
    const planned_worker& worker) {
  std::vector<fleet::resident_model> kept;
  if (!worker.report || worker.is_draining()) return kept;
  for (const auto& each : worker.report->models) {
    if (worker.has_target_model(each.name)) kept.push_back(each);
  }
  return kept;
}

}  // namespace

void fleet_view::update(const std::map<std::string, planned_worker>& workers,
                        const std::map<std::string, int>& granted) {
  this->views.clear();
  std::erase_if(this->known, [&workers](const auto& each) {
    return !workers.contains(each.first);
  });
  for (const auto& [id, worker] : workers) {
    if (!worker.report && !this->known.contains(id)) continue;
    const auto inserted = this->known.try_emplace(id);
    auto& entry = inserted.first->second;
    auto models = list_kept_models(worker);
    if (inserted.second) entry.index = this->next_index++;
    if (inserted.second || models != entry.models) {
      entry.models_version = ++this->last_version;
      entry.models = std::move(models);
    }
    const auto unconfirmed = granted.find(id);
    this->views.push_back(
        {.id = &inserted.first->first,
         .index = entry.index,
         .models = &entry.models,
         .models_version = entry.models_version,
         .requests = worker.total_in_flight,
         .granted = unconfirmed == granted.end() ? 0 : unconfirmed->second,
         .capacity = worker.list_entry.slots * (1 + this->queue_share)});
  }
}

}  // namespace boragehill::decide
