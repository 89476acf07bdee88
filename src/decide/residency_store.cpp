// Tracking of loads from the weight store by the residency planner.

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "decide/residency_choice.hpp"
#include "decide/residency_planner.hpp"

namespace boragehill::decide {

namespace {

/// Tolerance for a store load that runs at full speed: its completion is
/// reported later than its load time by the transfer of the order, its wait at
/// the worker and the report interval. Without this tolerance every load from
/// the store became overdue just before its end, and the requests waiting for
/// it were rejected 10 ms before the model was ready (16 of 727 of the requests
/// with the highest weight).
constexpr int late_share = 20;
constexpr milliseconds report_lag{50};

/// \return Mean number of loads from the store during this load, itself
///     included.
double mean_crowd(const planned_load& load, milliseconds took) {
  if (took <= milliseconds(0)) return 0;
  return load.crowd_ms / static_cast<double>(took.count());
}

}  // namespace

int residency_planner::store_loads() const {
  int count = 0;
  for (const auto& [id, worker] : this->known) {
    // A load ordered by a previous planner may come from the store as well.
    const bool unknown = !worker.pending && worker.report &&
                         worker.report->busy && !worker.leaves();
    if (worker.loads_from_store() || unknown) ++count;
  }
  return count;
}

bool residency_planner::starves(const std::string& model,
                                const model_state& state) const {
  if (state.waiting < this->settings.requests_per_replica) return false;
  if (state.oldest < this->settings.starved) return false;
  // At most one store load per model, so that other starved models get a slot.
  return std::none_of(
      this->known.begin(), this->known.end(), [&model](const auto& each) {
        const auto& worker = each.second;
        return worker.loads_from_store() && worker.pending->model == model;
      });
}

void residency_planner::load_from_store(const fleet::service& service,
                                        time_point now) {
  std::sort(this->from_store.begin(), this->from_store.end(),
            [](const auto& left, const auto& right) {
              return left.requests > right.requests;
            });
  const bool is_new = now < this->began + this->settings.observe;
  for (const auto& wanted : this->from_store) {
    if (is_new && wanted.requests < this->settings.requests_per_replica) return;
    if (this->store_loads() >= this->pace.at_once()) return;
    const auto chosen = this->choose_worker(
        service, *wanted.model, std::numeric_limits<double>::max(), now);
    if (chosen) this->carry_out(*chosen, wanted.why, now);
  }
}

void residency_planner::watch_store(time_point now) {
  const int at_once = this->store_loads();
  const auto since = std::chrono::duration<double, std::milli>(
      now - std::exchange(this->store_watched, now));
  for (auto& [id, worker] : this->known) {
    if (!worker.loads_from_store()) continue;
    auto& load = *worker.pending;
    if (!load.seen) continue;
    load.crowd_ms += since.count() * at_once;
    if (now > load.due) this->watch_overdue(load, now);
  }
}

void residency_planner::watch_load(planned_load& load, time_point now) {
  // An order that the worker did not start in time says nothing about the
  // store.
  if (!load.seen) return;
  const auto took = std::chrono::ceil<milliseconds>(now - *load.seen);
  this->pace.on_load(load.usual, took, mean_crowd(load, took), now);
}

void residency_planner::watch_overdue(planned_load& load, time_point now) {
  const auto took = std::chrono::ceil<milliseconds>(now - *load.seen);
  if (took <= load.usual + load.usual / late_share + report_lag) {
    load.due = now + report_lag;
    return;
  }
  // The load is not finished, so it can only lower the limit, never raise it.
  this->pace.on_overdue(load.usual, took, mean_crowd(load, took), now);
  // The slowdown is known only at the end. Until then the remaining time is
  // assumed to equal the time so far: if the model were reported as almost
  // ready, callers would wait for a model that cannot be ready in time.
  load.due = now + took;
}

std::vector<time_point> residency_planner::store_free_at(time_point now) const {
  std::vector<time_point> free;
  for (const auto& [id, worker] : this->known) {
    if (!worker.loads_from_store()) continue;
    free.push_back(std::max(worker.pending->due, now));
  }
  std::sort(free.begin(), free.end());
  const auto places = static_cast<std::size_t>(this->pace.at_once());
  // If more loads are running than the limit, the first completions free no
  // slot.
  if (free.size() > places) free.erase(free.begin(), free.end() - places);
  while (free.size() < places) free.insert(free.begin(), now);
  return free;
}

}  // namespace boragehill::decide
