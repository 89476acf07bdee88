// Prefetching from the weight store by the residency planner.

#include <algorithm>

#include "decide/residency_choice.hpp"
#include "decide/residency_planner.hpp"

namespace boragehill::decide {

const fleet::model* residency_planner::most_wanted_without_copy(
    const fleet::service& service, time_point now) const {
  const fleet::model* best = nullptr;
  double most = 0;
  for (const auto& model : service.models) {
    if (this->copies.contains(model.name)) continue;
    if (this->replicas_of(model.name) > 0) continue;
    const auto found = this->models.find(model.name);
    const double asked =
        found == this->models.end() ? 0 : found->second.arrivals.value(now);
    if (best && asked <= most) continue;
    best = &model;
    most = asked;
  }
  return best;
}

std::optional<residency_planner::choice> residency_planner::idle_place_for(
    const fleet::service& service, const fleet::model& model,
    time_point now) const {
  std::optional<choice> best;
  for (const auto& [id, worker] : this->known) {
    if (!this->usable(worker, service, now)) continue;
    if (this->claimed.contains(id)) continue;
    auto found = this->consider(model, id, worker, true, now);
    if (!found || found->loss >= this->settings.idle_loss) continue;
    if (!best || found->cost < best->cost) best = std::move(found);
  }
  return best;
}

void residency_planner::fetch_ahead(const fleet::service& service,
                                    time_point now) {
  // Loads that requests wait for go first. All store slots may be used: a free
  // slot would be kept for just such models, and only concurrent loads show how
  // many the store serves.
  if (!this->from_store.empty()) return;
  if (this->store_loads() >= this->pace.at_once()) return;
  if (this->acquainting(service, now)) return;
  this->count_copies();
  const auto* model = this->most_wanted_without_copy(service, now);
  if (!model) return;
  const auto chosen = this->idle_place_for(service, *model, now);
  if (chosen) this->carry_out(*chosen, "ahead", now);
}

}  // namespace boragehill::decide
