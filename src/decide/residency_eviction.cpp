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
  for (const auto& each : worker.report->models) {
    const auto* spec = this->find_model(each.name);
    if (!spec) {
      // The size of the model is unknown, so no load is planned on this worker.
      worker.free_memory_mb = 0;
      worker.eviction_candidates.clear();
      return;
    }
    worker.free_memory_mb -=
        spec->weights_mb +
        spec->adapter_mb * static_cast<double>(each.adapters.size());
    const auto since = worker.resident_since.find(each.name);
    const bool is_new = since != worker.resident_since.end() &&
                        now < since->second + this->settings.min_residency;
    const auto state = this->demand_by_model.find(each.name);
    const bool waited_for =
        state != this->demand_by_model.end() && state->second.waiting > 0;
    if (is_new && waited_for) continue;
    worker.eviction_candidates.emplace_back(
        this->eviction_cost_s(worker, each.name, now), each.name);
  }
  std::sort(worker.eviction_candidates.begin(),
            worker.eviction_candidates.end());
}

void residency_planner::update_eviction_candidates_of_holders(
    const std::vector<std::string>& dropped, time_point now) {
  for (auto& each : this->workers_by_id) {
    auto& worker = each.second;
    if (!this->is_responsive(worker, now)) continue;
    const bool holds_one = std::any_of(
        dropped.begin(), dropped.end(),
        [&](const auto& name) { return worker.report->find(name) != nullptr; });
    if (!holds_one) continue;
    const auto* service =
        this->catalog->find_service(worker.list_entry.service);
    if (service) this->update_eviction_candidates(worker, *service, now);
  }
}

double residency_planner::eviction_cost_s(const planned_worker& worker,
                                          const std::string& model,
                                          time_point now) const {
  // An unload waits for the model's running requests; they take about this
  // long.
  constexpr double run_seconds = 1.5;
  const auto found = this->demand_by_model.find(model);
  if (found == this->demand_by_model.end()) return 0;
  const auto& state = found->second;
  const auto flights = worker.in_flight.find(model);
  const bool in_use = flights != worker.in_flight.end() && flights->second > 0;
  double cost = in_use ? run_seconds : 0;
  const int replicas = this->replica_count(model);
  const auto* spec = this->find_model(model);
  const double reload = spec ? seconds_of(spec->disk_load) : 0;
  if (replicas <= 1) {
    const double expected =
        state.recent_arrivals.per_second(now) * horizon_seconds;
    return cost + (expected + state.in_flight + state.waiting) * reload;
  }
  const double each =
      (state.in_flight + state.waiting) / static_cast<double>(replicas - 1);
  const double over = each - this->settings.requests_per_replica;
  return cost + std::max(over, 0.0) * reload;
}

}  // namespace boragehill::decide
