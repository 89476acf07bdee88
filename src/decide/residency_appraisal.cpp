// Eviction costs of the residency planner.

#include <algorithm>
#include <chrono>

#include "decide/residency_planner.hpp"
#include "decide/residency_support.hpp"

namespace boragehill::decide {

const fleet::model* residency_planner::model_of(const std::string& name) const {
  const auto found = this->specs.find(name);
  return found == this->specs.end() ? nullptr : found->second;
}

void residency_planner::appraise(const fleet::service& service,
                                 time_point now) {
  for (auto& [id, worker] : this->known) {
    if (worker.entry.service != service.name) continue;
    if (this->fresh(worker, now)) this->appraise(worker, service, now);
  }
}

void residency_planner::appraise(planned_worker& worker,
                                 const fleet::service& service,
                                 time_point now) {
  worker.droppable.clear();
  worker.room_mb = service.weights_mb;
  for (const auto& each : worker.report->models) {
    const auto* spec = this->model_of(each.name);
    if (!spec) {
      // The size of the model is unknown, so no load is planned on this worker.
      worker.room_mb = 0;
      worker.droppable.clear();
      return;
    }
    worker.room_mb -=
        spec->weights_mb +
        spec->adapter_mb * static_cast<double>(each.adapters.size());
    const auto since = worker.since.find(each.name);
    const bool is_new = since != worker.since.end() &&
                        now < since->second + this->settings.settle;
    const auto state = this->models.find(each.name);
    const bool waited_for =
        state != this->models.end() && state->second.waiting > 0;
    if (is_new && waited_for) continue;
    worker.droppable.emplace_back(this->cost_of_losing(worker, each.name, now),
                                  each.name);
  }
  std::sort(worker.droppable.begin(), worker.droppable.end());
}

void residency_planner::appraise_holders(
    const std::vector<std::string>& dropped, time_point now) {
  for (auto& each : this->known) {
    auto& worker = each.second;
    if (!this->fresh(worker, now)) continue;
    const bool holds_one = std::any_of(
        dropped.begin(), dropped.end(),
        [&](const auto& name) { return worker.report->find(name) != nullptr; });
    if (!holds_one) continue;
    const auto* service = this->catalog->find_service(worker.entry.service);
    if (service) this->appraise(worker, *service, now);
  }
}

double residency_planner::cost_of_losing(const planned_worker& worker,
                                         const std::string& model,
                                         time_point now) const {
  // An unload waits for the model's running requests; they take about this
  // long.
  constexpr double run_seconds = 1.5;
  const auto found = this->models.find(model);
  if (found == this->models.end()) return 0;
  const auto& state = found->second;
  const auto flights = worker.flights.find(model);
  const bool in_use = flights != worker.flights.end() && flights->second > 0;
  double cost = in_use ? run_seconds : 0;
  const int replicas = this->replicas_of(model);
  const auto* spec = this->model_of(model);
  const double reload = spec ? seconds_of(spec->disk_load) : 0;
  if (replicas <= 1) {
    const double expected = state.arrivals.per_second(now) * horizon_seconds;
    return cost + (expected + state.flying + state.waiting) * reload;
  }
  const double each =
      (state.flying + state.waiting) / static_cast<double>(replicas - 1);
  const double over = each - this->settings.requests_per_replica;
  return cost + std::max(over, 0.0) * reload;
}

}  // namespace boragehill::decide
