// Preloading into free memory by the residency planner.

#include <algorithm>
#include <utility>

#include "decide/planner_name_list.hpp"
#include "decide/residency_load_choice.hpp"
#include "decide/residency_planner.hpp"

namespace boragehill::decide {

double residency_planner::replica_gain_seconds(const fleet::model& model,
                                               time_point now) const {
  const auto found = this->demand_by_model.find(model.name);
  if (found == this->demand_by_model.end()) return 0;
  const auto& demand = found->second;
  const int replicas = this->replica_count(model.name);
  const double reload_seconds = seconds_of(model.disk_load);
  if (replicas == 0) {
    // Whether and where it is loaded on demand was decided before; it may be
    // waiting for a worker with a copy on disk.
    if (demand.waiting > 0) return 0;
    const double expected_requests =
        demand.recent_arrivals.per_second(now) * horizon_seconds;
    const bool has_copy = this->models_with_copy.contains(model.name);
    return expected_requests *
           (has_copy ? reload_seconds : seconds_of(model.store_load));
  }
  const double requests_per_replica =
      (demand.in_flight + demand.waiting) / static_cast<double>(replicas);
  const double excess =
      requests_per_replica - this->settings.requests_per_replica;
  return std::max(excess, 0.0) * reload_seconds;
}

void residency_planner::collect_local_copies() {
  this->models_with_copy.clear();
  for (const auto& [id, worker] : this->workers_by_id) {
    if (worker.is_draining() || !worker.report) continue;
    for (const auto& [model, in_memory] : worker.local_copies) {
      this->models_with_copy.insert(model);
    }
  }
}

bool residency_planner::may_preload_from_store() const {
  // One store slot stays free for a model that requests wait for, unless no
  // other load uses the store.
  const int active_loads = this->active_store_loads();
  return active_loads == 0 || active_loads + 1 < this->store_limit.limit();
}

std::vector<const planned_worker*> residency_planner::workers_with_free_memory(
    const fleet::service& service, time_point now) const {
  const auto smallest =
      std::min_element(service.models.begin(), service.models.end(),
                       [](const fleet::model& left, const fleet::model& right) {
                         return left.weights_mb < right.weights_mb;
                       });
  std::vector<const planned_worker*> found;
  if (smallest == service.models.end()) return found;
  for (const auto& [id, worker] : this->workers_by_id) {
    if (worker.free_memory_mb < smallest->weights_mb) continue;
    if (!this->may_start_load(worker, service, now)) continue;
    if (!this->queued_load_time.contains(id)) found.push_back(&worker);
  }
  return found;
}

std::optional<residency_planner::load_choice> residency_planner::choose_preload(
    const planned_worker& worker, const fleet::service& service,
    time_point now) const {
  std::optional<load_choice> best;
  for (const auto& model : service.models) {
    if (worker.free_memory_mb < model.weights_mb) continue;
    if (worker.has_target_model(model.name)) continue;
    const double gain = this->replica_gain_seconds(model, now);
    if (gain <= this->settings.min_preload_gain_seconds) continue;
    const load_choice found{
        .worker = worker.list_entry.id,
        .model = &model,
        .load_time = worker.load_time(model),
        .from_store = !worker.local_copies.contains(model.name),
        .cost_seconds = -gain};
    // Models with a local copy come first: they load in a fifth of the time.
    const bool better =
        !best || std::pair{found.from_store, found.cost_seconds} <
                     std::pair{best->from_store, best->cost_seconds};
    if (better) best = found;
  }
  return best;
}

void residency_planner::preload_free_memory(const fleet::service& service,
                                            time_point now) {
  // Usually no worker has free memory, and the copies need not be collected.
  const auto workers = this->workers_with_free_memory(service, now);
  // A model that nobody is known to hold may stand at a worker that has not
  // reported yet.
  if (workers.empty() || this->is_awaiting_first_reports(service, now)) return;
  this->collect_local_copies();
  for (const auto* worker : workers) {
    const auto chosen = this->choose_preload(*worker, service, now);
    if (!chosen) continue;
    const bool may_start =
        !chosen->from_store || this->may_preload_from_store();
    if (may_start) this->start_load(*chosen, "stock", now);
  }
}

}  // namespace boragehill::decide
