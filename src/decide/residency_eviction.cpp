// Eviction costs of the residency planner.

#include <algorithm>
#include <chrono>

#include "decide/planner_name_list.hpp"
#include "decide/residency_planner.hpp"

namespace boragehill::decide {

const fleet::model* residency_planner::find_model(
    const std::string& name) const {
  const auto found = this->models_by_name.find(name);
  return found == this->models_by_name.end() ? nullptr : found->second;
}

void residency_planner::update_eviction_candidates(
    const fleet::service& service, time_point now) {
  for (auto& [id, worker] : this->workers_by_id) {
    if (worker.list_entry.service != service.name) continue;
    if (this->is_responsive(worker, now))
      this->update_eviction_candidates(worker, service, now);
  }
}

void residency_planner::update_eviction_candidates(
    planned_worker& worker, const fleet::service& service, time_point now) {
  worker.eviction_candidates.clear();
  worker.free_memory_mb = service.weights_mb;
  for (const auto& resident : worker.report->models) {
    const auto* model = this->find_model(resident.name);
    if (!model) {
      // The size of the model is unknown, so no load is planned on this worker.
      worker.free_memory_mb = 0;
      worker.eviction_candidates.clear();
      return;
    }
    worker.free_memory_mb -=
        model->weights_mb +
        model->adapter_mb * static_cast<double>(resident.adapters.size());
    const auto loaded = worker.resident_since.find(resident.name);
    const bool is_new = loaded != worker.resident_since.end() &&
                        now < loaded->second + this->settings.min_residency;
    const auto demand = this->demand_by_model.find(resident.name);
    const bool has_waiting_requests =
        demand != this->demand_by_model.end() && demand->second.waiting > 0;
    if (is_new && has_waiting_requests) continue;
    worker.eviction_candidates.emplace_back(
        this->eviction_cost_seconds(worker, resident.name, now), resident.name);
  }
  std::sort(worker.eviction_candidates.begin(),
            worker.eviction_candidates.end());
}

void residency_planner::update_eviction_candidates_of_holders(
    const std::vector<std::string>& evicted, time_point now) {
  for (auto& item : this->workers_by_id) {
    auto& worker = item.second;
    if (!this->is_responsive(worker, now)) continue;
    const bool holds_any = std::any_of(
        evicted.begin(), evicted.end(),
        [&](const auto& name) { return worker.report->find(name) != nullptr; });
    if (!holds_any) continue;
    const auto* service =
        this->catalog->find_service(worker.list_entry.service);
    if (service) this->update_eviction_candidates(worker, *service, now);
  }
}

double residency_planner::kept_requests(const planned_worker& worker) const {
  const int slots = worker.list_entry.slots;
  if (slots <= 0) return this->settings.requests_per_replica;
  return std::min(this->settings.requests_per_replica,
                  this->settings.max_kept_utilization * slots);
}

double residency_planner::eviction_cost_seconds(const planned_worker& worker,
                                                const std::string& model,
                                                time_point now) const {
  // An unload waits for the model's running requests; they take about this
  // long.
  constexpr double run_seconds = 1.5;
  const auto found = this->demand_by_model.find(model);
  if (found == this->demand_by_model.end()) return 0;
  const auto& demand = found->second;
  const auto in_flight = worker.in_flight.find(model);
  const bool in_use =
      in_flight != worker.in_flight.end() && in_flight->second > 0;
  double cost = in_use ? run_seconds : 0;
  const int replicas = this->replica_count(model);
  const auto* spec = this->find_model(model);
  const double reload_seconds = spec ? seconds_of(spec->disk_load) : 0;
  if (replicas <= 1) {
    const double expected_requests =
        demand.recent_arrivals.per_second(now) * horizon_seconds;
    return cost + (expected_requests + demand.in_flight + demand.waiting) *
                      reload_seconds;
  }
  // At a moment without requests a model is not idle yet.
  const double usual_requests =
      demand.recent_arrivals.per_second(now) * run_seconds;
  const double requests =
      std::max<double>(demand.in_flight + demand.waiting, usual_requests);
  const double requests_per_replica =
      requests / static_cast<double>(replicas - 1);
  const double excess = requests_per_replica - this->kept_requests(worker);
  return cost + std::max(excess, 0.0) * reload_seconds;
}

}  // namespace boragehill::decide
