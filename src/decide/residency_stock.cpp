// Preloading into free memory by the residency planner.

#include <algorithm>
#include <utility>

#include "decide/residency_choice.hpp"
#include "decide/residency_planner.hpp"
#include "decide/residency_support.hpp"

namespace boragehill::decide {

double residency_planner::gain_of_placing(const fleet::model& model,
                                          time_point now) const {
  const auto found = this->models.find(model.name);
  if (found == this->models.end()) return 0;
  const auto& state = found->second;
  const int replicas = this->replicas_of(model.name);
  const double reload = seconds_of(model.disk_load);
  if (replicas == 0) {
    // Whether and where it is loaded on demand was decided before; it may be
    // waiting for a worker with a copy on disk.
    if (state.waiting > 0) return 0;
    const double expected = state.arrivals.per_second(now) * horizon_seconds;
    const bool has_copy = this->copies.contains(model.name);
    return expected * (has_copy ? reload : seconds_of(model.store_load));
  }
  const double each =
      (state.flying + state.waiting) / static_cast<double>(replicas);
  const double over = each - this->settings.requests_per_replica;
  return std::max(over, 0.0) * reload;
}

void residency_planner::count_copies() {
  this->copies.clear();
  for (const auto& [id, worker] : this->known) {
    if (worker.leaves() || !worker.report) continue;
    for (const auto& [model, in_memory] : worker.copies) {
      this->copies.insert(model);
    }
  }
}

bool residency_planner::may_stock_from_store() const {
  // One store slot stays free for a model that requests wait for.
  const int others = this->store_loads();
  return others == 0 || others + 1 < this->pace.at_once();
}

std::vector<const planned_worker*> residency_planner::workers_with_room(
    const fleet::service& service, time_point now) const {
  const auto smallest =
      std::min_element(service.models.begin(), service.models.end(),
                       [](const fleet::model& left, const fleet::model& right) {
                         return left.weights_mb < right.weights_mb;
                       });
  std::vector<const planned_worker*> found;
  if (smallest == service.models.end()) return found;
  for (const auto& [id, worker] : this->known) {
    if (worker.room_mb < smallest->weights_mb) continue;
    if (!this->usable(worker, service, now)) continue;
    if (!this->claimed.contains(id)) found.push_back(&worker);
  }
  return found;
}

std::optional<residency_planner::choice> residency_planner::most_missed(
    const planned_worker& worker, const fleet::service& service,
    time_point now) const {
  std::optional<choice> best;
  for (const auto& model : service.models) {
    if (worker.room_mb < model.weights_mb) continue;
    if (worker.meant_for(model.name)) continue;
    const double gain = this->gain_of_placing(model, now);
    if (gain <= this->settings.stock_gain) continue;
    const choice found{.worker = worker.entry.id,
                       .model = &model,
                       .time = worker.load_time(model),
                       .from_store = !worker.copies.contains(model.name),
                       .cost = -gain};
    // Models with a local copy come first: they load in a fifth of the time.
    const bool better = !best || std::pair{found.from_store, found.cost} <
                                     std::pair{best->from_store, best->cost};
    if (better) best = found;
  }
  return best;
}

void residency_planner::stock_free_places(const fleet::service& service,
                                          time_point now) {
  // Usually no worker has free memory, and the copies need not be collected.
  const auto free = this->workers_with_room(service, now);
  if (free.empty()) return;
  this->count_copies();
  for (const auto* worker : free) {
    const auto chosen = this->most_missed(*worker, service, now);
    if (!chosen) continue;
    const bool may_load =
        !chosen->from_store ||
        (this->may_stock_from_store() && !this->acquainting(service, now));
    if (may_load) this->carry_out(*chosen, "stock", now);
  }
}

}  // namespace boragehill::decide
