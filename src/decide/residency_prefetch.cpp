// Prefetching from the weight store by the residency planner.

#include <algorithm>

#include "decide/residency_load_choice.hpp"
#include "decide/residency_planner.hpp"

namespace boragehill::decide {

const fleet::model* residency_planner::most_requested_without_copy(
    const fleet::service& service, time_point now) const {
  const fleet::model* best = nullptr;
  double most_requests = 0;
  for (const auto& model : service.models) {
    if (this->models_with_copy.contains(model.name)) continue;
    if (this->replica_count(model.name) > 0) continue;
    const auto found = this->demand_by_model.find(model.name);
    const double requests = found == this->demand_by_model.end()
                                ? 0
                                : found->second.recent_arrivals.value(now);
    if (best && requests <= most_requests) continue;
    best = &model;
    most_requests = requests;
  }
  return best;
}

std::optional<residency_planner::load_choice>
residency_planner::find_idle_worker(const fleet::service& service,
                                    const fleet::model& model,
                                    time_point now) const {
  std::optional<load_choice> best;
  for (const auto& [id, worker] : this->workers_by_id) {
    if (!this->may_start_load(worker, service, now)) continue;
    if (this->queued_load_time.contains(id)) continue;
    auto found = this->evaluate_worker(model, id, worker, true, now);
    if (!found || found->eviction_cost_seconds >=
                      this->settings.max_idle_eviction_cost_seconds)
      continue;
    if (!best || found->cost_seconds < best->cost_seconds)
      best = std::move(found);
  }
  return best;
}

void residency_planner::prefetch_missing_copies(const fleet::service& service,
                                                time_point now) {
  // Loads that requests wait for go first. All store slots may be used: a free
  // slot would be kept for just such models, and only concurrent loads show how
  // many the store serves.
  if (!this->wanted_store_loads.empty()) return;
  if (this->active_store_loads() >= this->store_limit.limit()) return;
  if (this->is_awaiting_first_reports(service, now)) return;
  this->collect_local_copies();
  const auto* model = this->most_requested_without_copy(service, now);
  if (!model) return;
  const auto chosen = this->find_idle_worker(service, *model, now);
  if (chosen) this->start_load(*chosen, "ahead", now);
}

}  // namespace boragehill::decide
