// What the planner loads into places that are free.

#include <algorithm>

#include "decide/residency_choice.hpp"
#include "decide/residency_planner.hpp"
#include "decide/residency_support.hpp"

namespace boragehill::decide {

using detail::seconds_of;

namespace {

/// Less expected waiting than this isn't worth a load: about one request in
/// two minutes that would find its model there a disk's load earlier.
constexpr double least_gain_seconds = 0.05;

}  // namespace

double residency_planner::gain_of_placing(const fleet::model& model,
                                          time_point now) const {
  const auto found = this->models.find(model.name);
  if (found == this->models.end()) return 0;
  const auto& state = found->second;
  const int replicas = this->replicas_of(model.name);
  const double reload = seconds_of(model.disk_load);
  if (replicas == 0) {
    // Where it is woken was decided already; it may wait for a copy on disk.
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
    if (worker.entry.draining || !worker.report) continue;
    for (const auto& [model, in_memory] : worker.copies) {
      this->copies.insert(model);
    }
  }
}

bool residency_planner::may_stock_from_store() const {
  // One place of the store stays free for a model that is waited for.
  const int others = this->store_loads();
  return others == 0 || others + 1 < this->pace.at_once();
}

void residency_planner::stock_free_places(const fleet::service& service,
                                          time_point now) {
  this->count_copies();
  for (const auto& [id, worker] : this->known) {
    if (!this->usable(worker, service, now)) continue;
    if (this->claimed.contains(id)) continue;
    const fleet::model* best = nullptr;
    double most = least_gain_seconds;
    bool best_has_copy = false;
    for (const auto& model : service.models) {
      if (worker.room_mb < model.weights_mb) continue;
      if (worker.meant_for(model.name)) continue;
      const bool has_copy = worker.copies.contains(model.name);
      // What is at hand here comes first: it takes a fifth of the time.
      if (best_has_copy && !has_copy) continue;
      const double gain = this->gain_of_placing(model, now);
      const bool nearer = has_copy && !best_has_copy;
      if (gain <= least_gain_seconds || (!nearer && gain <= most)) continue;
      best = &model;
      most = gain;
      best_has_copy = has_copy;
    }
    if (!best) continue;
    if (!best_has_copy &&
        (!this->may_stock_from_store() || this->acquainting(service, now))) {
      continue;
    }
    const choice chosen{
        .worker = id,
        .time = best_has_copy ? best->disk_load : best->store_load,
        .from_store = !best_has_copy,
        .cost = -most};
    this->carry_out(chosen, *best, "stock", now);
  }
}

}  // namespace boragehill::decide
