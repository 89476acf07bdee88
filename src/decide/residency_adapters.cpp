// Adapter placement of the residency planner.

#include <algorithm>

#include "decide/planner_name_list.hpp"
#include "decide/residency_planner.hpp"

namespace boragehill::decide {

using detail::contains_name;
using detail::remove_name;

void residency_planner::place_adapters(const fleet::service& service,
                                       time_point now) {
  for (const auto& model : service.models) {
    const auto found = this->demand_by_model.find(model.name);
    if (found == this->demand_by_model.end()) continue;
    const auto waiting = found->second.adapter_waiting;
    for (const auto& [adapter, count] : waiting) {
      this->place_adapter(service, model.name, adapter, now);
    }
  }
}

void residency_planner::place_adapter(const fleet::service& service,
                                      const std::string& model,
                                      const std::string& adapter,
                                      time_point now) {
  const std::string full = model + '/' + adapter;
  planned_worker* best = nullptr;
  std::size_t fewest = 0;
  for (auto& [id, worker] : this->workers_by_id) {
    if (!worker.serves(model) || worker.is_draining()) continue;
    if (worker.list_entry.service != service.name ||
        !this->is_responsive(worker, now)) {
      continue;
    }
    if (contains_name(worker.target.adapters, full)) return;
    // A worker loads no adapter while it loads a model.
    const std::size_t wait = worker.pending_load || worker.report->busy
                                 ? static_cast<std::size_t>(1000)
                                 : 0;
    const std::size_t count = worker.target.adapters.size() + wait;
    if (!best || count < fewest) {
      best = &worker;
      fewest = count;
    }
  }
  if (!best) return;
  auto& adapters = best->target.adapters;
  if (adapters.size() >= static_cast<std::size_t>(service.adapter_places)) {
    // Evicts the least recently requested adapter without requests in flight.
    const std::string* oldest = nullptr;
    time_point oldest_time;
    for (const auto& each : adapters) {
      const auto flights = best->in_flight.find(each);
      if (flights != best->in_flight.end() && flights->second > 0) continue;
      const auto slash = each.find('/');
      const auto& asked =
          this->demand_by_model[each.substr(0, slash)].adapter_last_requested;
      const auto last = asked.find(each.substr(slash + 1));
      const time_point time =
          last == asked.end() ? time_point::min() : last->second;
      if (oldest && time >= oldest_time) continue;
      oldest = &each;
      oldest_time = time;
    }
    if (!oldest) return;
    remove_name(adapters, std::string(*oldest));
  }
  adapters.push_back(full);
}

bool residency_planner::is_responsive(const planned_worker& worker,
                                      time_point now) const {
  return !worker.is_unresponsive && worker.report &&
         now < worker.reported_at + this->settings.report_max_age;
}

}  // namespace boragehill::decide
