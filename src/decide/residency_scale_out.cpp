// Scaling out of busy models by the residency planner.

#include <algorithm>
#include <utility>
#include <vector>

#include "decide/residency_load_choice.hpp"
#include "decide/residency_planner.hpp"

namespace boragehill::decide {

namespace {

/// Converts a number of waiting requests to a number of arrivals: requests wait
/// for a little over 2 s, arrivals count for 15 s.
constexpr double waiting_to_arrivals_factor = 6;

}  // namespace

double residency_planner::requests_per_replica(const std::string& model) const {
  const auto found = this->demand_by_model.find(model);
  const int replicas = this->replica_count(model);
  if (found == this->demand_by_model.end() || replicas == 0) return 0;
  const double requests = found->second.in_flight + found->second.waiting;
  return requests / replicas;
}

bool residency_planner::is_busy(const std::string& model) const {
  const double requests = this->requests_per_replica(model);
  if (requests > this->settings.requests_per_replica) return true;
  if (requests < this->settings.min_requests_per_replica) return false;
  const auto found = this->holder_loads.find(model);
  return found != this->holder_loads.end() && found->second.slots > 0 &&
         found->second.in_flight >
             this->settings.max_holder_utilization * found->second.slots;
}

double residency_planner::excess_requests(const std::string& model) const {
  const auto demand = this->demand_by_model.find(model);
  if (demand == this->demand_by_model.end()) return 0;
  double excess = demand->second.waiting;
  const auto load = this->holder_loads.find(model);
  if (load != this->holder_loads.end()) {
    excess += std::max(load->second.in_flight - load->second.slots, 0);
  }
  return excess;
}

bool residency_planner::is_starved(const std::string& model) const {
  if (this->excess_requests(model) < this->settings.requests_per_replica) {
    return false;
  }
  const auto& demand = this->demand_by_model.at(model);
  const bool has_long_wait =
      demand.waiting >= this->settings.requests_per_replica &&
      demand.oldest_wait >= this->settings.starvation_wait;
  const auto load = this->holder_loads.find(model);
  const bool has_full_holders =
      load != this->holder_loads.end() &&
      load->second.in_flight >= load->second.slots &&
      this->requests_per_replica(model) > this->settings.requests_per_replica;
  if (!has_long_wait && !has_full_holders) return false;
  // At most one store load per model, so that other starved models get a slot.
  return std::none_of(this->workers_by_id.begin(), this->workers_by_id.end(),
                      [&model](const auto& item) {
                        const auto& worker = item.second;
                        return worker.is_loading_from_store() &&
                               worker.pending_load->model == model;
                      });
}

void residency_planner::scale_out_busy_models(const fleet::service& service,
                                              time_point now) {
  std::vector<std::pair<double, const fleet::model*>> busy;
  for (const auto& model : service.models) {
    if (!this->is_busy(model.name)) continue;
    busy.emplace_back(this->requests_per_replica(model.name), &model);
  }
  // Free workers and store slots are scarce: most requests per replica first.
  std::sort(busy.begin(), busy.end(), [](const auto& left, const auto& right) {
    return left.first > right.first;
  });
  for (const auto& [requests, model] : busy) {
    this->scale_out(service, *model, requests, now);
  }
}

void residency_planner::scale_out(const fleet::service& service,
                                  const fleet::model& model,
                                  double requests_per_replica, time_point now) {
  const int replicas = this->replica_count(model.name);
  double current_load = 0;
  for (const auto& [id, worker] : this->workers_by_id) {
    if (worker.has_target_model(model.name))
      current_load += worker.total_in_flight;
  }
  current_load = std::max(current_load / replicas, requests_per_replica);
  const auto chosen = this->choose_worker(
      service, model, this->settings.scale_out_load_ratio * current_load, now);
  if (!chosen) return;
  // The eviction cost must not exceed the gain of these requests.
  if (chosen->eviction_cost_seconds > requests_per_replica) return;
  if (!chosen->from_store) {
    return this->start_load(*chosen, "relief", now);
  }
  // The store is many times slower, so it is used only for requests that exceed
  // the capacity of all replicas.
  if (!this->is_starved(model.name)) return;
  this->wanted_store_loads.push_back(
      {&model, "relief",
       this->excess_requests(model.name) * waiting_to_arrivals_factor});
}

}  // namespace boragehill::decide
