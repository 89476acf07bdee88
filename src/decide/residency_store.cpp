// Tracking of loads from the weight store by the residency planner.

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "decide/residency_load_choice.hpp"
#include "decide/residency_planner.hpp"

namespace boragehill::decide {

namespace {

/// Tolerance for a store load that runs at full speed: its completion is
/// reported later than its load time by the transfer of the order, its wait at
/// the worker and the report interval. Without this tolerance every load from
/// the store became overdue just before its end, and the requests waiting for
/// it were rejected 10 ms before the model was ready (16 of 727 of the requests
/// with the highest weight).
constexpr int load_time_tolerance_divisor = 20;
constexpr milliseconds completion_report_delay{50};

/// \return Mean number of loads from the store during this load, itself
///     included.
double mean_concurrent_loads(const planned_load& load, milliseconds elapsed) {
  if (elapsed <= milliseconds(0)) return 0;
  return load.concurrency_integral_ms / static_cast<double>(elapsed.count());
}

}  // namespace

int residency_planner::active_store_loads() const {
  int count = 0;
  for (const auto& [id, worker] : this->workers_by_id) {
    // A load ordered by a previous planner may come from the store as well.
    const bool unknown = !worker.pending_load && worker.report &&
                         worker.report->busy && !worker.is_draining();
    if (worker.is_loading_from_store() || unknown) ++count;
  }
  return count;
}

void residency_planner::start_store_loads(const fleet::service& service,
                                          time_point now) {
  std::sort(this->wanted_store_loads.begin(), this->wanted_store_loads.end(),
            [](const auto& left, const auto& right) {
              return left.requests_in_window > right.requests_in_window;
            });
  const bool is_observing =
      now < this->started_at + this->settings.observation_period;
  for (const auto& wanted : this->wanted_store_loads) {
    if (is_observing &&
        wanted.requests_in_window < this->settings.requests_per_replica)
      return;
    if (this->active_store_loads() >= this->store_limit.limit()) return;
    const auto chosen = this->choose_worker(
        service, *wanted.model, std::numeric_limits<double>::max(), now);
    if (chosen) this->start_load(*chosen, wanted.reason, now);
  }
}

void residency_planner::observe_store_loads(time_point now) {
  const int concurrent_loads = this->active_store_loads();
  const auto elapsed = std::chrono::duration<double, std::milli>(
      now - std::exchange(this->store_observed_at, now));
  for (auto& [id, worker] : this->workers_by_id) {
    if (!worker.is_loading_from_store()) continue;
    auto& load = *worker.pending_load;
    if (!load.first_seen_busy) continue;
    load.concurrency_integral_ms += elapsed.count() * concurrent_loads;
    if (now > load.due) this->on_store_load_overdue(load, now);
  }
}

void residency_planner::on_store_load_finished(planned_load& load,
                                               time_point now) {
  // An order that the worker did not start in time says nothing about the
  // store.
  if (!load.first_seen_busy) return;
  const auto elapsed =
      std::chrono::ceil<milliseconds>(now - *load.first_seen_busy);
  this->store_limit.on_load_finished(load.nominal_load_time, elapsed,
                                     mean_concurrent_loads(load, elapsed), now);
}

void residency_planner::on_store_load_overdue(planned_load& load,
                                              time_point now) {
  const auto elapsed =
      std::chrono::ceil<milliseconds>(now - *load.first_seen_busy);
  if (elapsed <= load.nominal_load_time +
                     load.nominal_load_time / load_time_tolerance_divisor +
                     completion_report_delay) {
    load.due = now + completion_report_delay;
    return;
  }
  // The load is not finished, so it can only lower the limit, never raise it.
  this->store_limit.on_load_overdue(load.nominal_load_time, elapsed,
                                    mean_concurrent_loads(load, elapsed), now);
  // The slowdown is known only at the end. Until then the remaining time is
  // assumed to equal the time so far: if the model were reported as almost
  // ready, callers would wait for a model that cannot be ready in time.
  load.due = now + elapsed;
}

std::vector<time_point> residency_planner::store_slot_free_times(
    time_point now) const {
  std::vector<time_point> free_times;
  for (const auto& [id, worker] : this->workers_by_id) {
    if (!worker.is_loading_from_store()) continue;
    free_times.push_back(std::max(worker.pending_load->due, now));
  }
  std::sort(free_times.begin(), free_times.end());
  const auto slots = static_cast<std::size_t>(this->store_limit.limit());
  // If more loads are running than the limit, the first completions free no
  // slot.
  if (free_times.size() > slots)
    free_times.erase(free_times.begin(), free_times.end() - slots);
  while (free_times.size() < slots) free_times.insert(free_times.begin(), now);
  return free_times;
}

}  // namespace boragehill::decide
