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
      this->place_adapter(service, model.name, adapter, {}, now);
    }
  }
  for (const auto& [model, adapter, software] : this->bound_models) {
    if (adapter.empty() || !service.find_model(model)) continue;
    this->place_adapter(service, model, adapter, software, now);
  }
}

void residency_planner::place_adapter(const fleet::service& service,
                                      const std::string& model,
                                      const std::string& adapter,
                                      const std::string& software,
                                      time_point now) {
  const std::string qualified_name = model + '/' + adapter;
  planned_worker* best = nullptr;
  std::size_t fewest = 0;
  for (auto& [id, worker] : this->workers_by_id) {
    if (!worker.serves(model) || worker.is_draining()) continue;
    if (!worker.has_software(software)) continue;
    if (worker.list_entry.service != service.name ||
        !this->is_responsive(worker, now)) {
      continue;
    }
    if (contains_name(worker.target.adapters, qualified_name)) return;
    // A worker loads no adapter while it loads a model.
    const std::size_t busy_penalty = worker.pending_load || worker.report->busy
                                         ? static_cast<std::size_t>(1000)
                                         : 0;
    const std::size_t count = worker.target.adapters.size() + busy_penalty;
    if (!best || count < fewest) {
      best = &worker;
      fewest = count;
    }
  }
  if (!best) return;
  auto& adapters = best->target.adapters;
  if (adapters.size() >= static_cast<std::size_t>(service.adapter_places)) {
    // Evicts the least recently requested adapter without requests in flight.
    const std::string* least_recent = nullptr;
    time_point least_recent_time;
    for (const auto& candidate : adapters) {
      const auto in_flight = best->in_flight.find(candidate);
      if (in_flight != best->in_flight.end() && in_flight->second > 0) continue;
      const auto slash = candidate.find('/');
      const auto& last_requested =
          this->demand_by_model[candidate.substr(0, slash)]
              .adapter_last_requested;
      const auto requested = last_requested.find(candidate.substr(slash + 1));
      const time_point requested_at = requested == last_requested.end()
                                          ? time_point::min()
                                          : requested->second;
      if (least_recent && requested_at >= least_recent_time) continue;
      least_recent = &candidate;
      least_recent_time = requested_at;
    }
    if (!least_recent) return;
    remove_name(adapters, std::string(*least_recent));
  }
  adapters.push_back(qualified_name);
}

}  // namespace boragehill::decide
