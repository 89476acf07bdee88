// Which workers the residency planner uses.

#include "decide/planner_name_list.hpp"
#include "decide/residency_planner.hpp"

namespace boragehill::decide {

using detail::contains_name;

void residency_planner::set_rate_limited_workers(
    const std::function<bool(const std::string&)>& is_rate_limited) {
  for (auto& [id, worker] : this->workers_by_id) {
    worker.is_rate_limited = is_rate_limited(id);
  }
}

void residency_planner::update_unresponsive_workers(time_point now) {
  for (auto& [id, worker] : this->workers_by_id) {
    worker.is_unresponsive =
        worker.reported_unresponsive_at &&
        now < *worker.reported_unresponsive_at +
                  this->settings.unresponsive_report_max_age;
  }
  // A router whose own connection to a worker is broken receives nothing from
  // it. Another router that has requests in flight there and does not report it
  // shows that the worker is alive.
  for (const auto& [router, report] : this->demand_by_router) {
    for (const auto& entry : report.in_flight) {
      const auto found = this->workers_by_id.find(entry.server);
      if (found == this->workers_by_id.end()) continue;
      if (!contains_name(report.unresponsive_servers, entry.server))
        found->second.is_unresponsive = false;
    }
  }
}

bool residency_planner::is_responsive(const planned_worker& worker,
                                      time_point now) const {
  return !worker.is_unresponsive && worker.report &&
         now < worker.reported_at + this->settings.report_max_age;
}

bool residency_planner::needs_unlimited_replica(
    const std::string& model, const aggregated_demand& demand) const {
  if (demand.oldest_wait < max_token_wait) return false;
  bool has_replica = false;
  for (const auto& [id, worker] : this->workers_by_id) {
    if (!worker.has_target_model(model) || worker.is_draining()) continue;
    if (!worker.is_rate_limited) return false;
    has_replica = true;
  }
  return has_replica;
}

}  // namespace boragehill::decide
