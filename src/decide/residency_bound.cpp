// Loads for streams that go on at one software version only, by the residency
// planner.

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <utility>

#include "decide/residency_load_choice.hpp"
#include "decide/residency_planner.hpp"

namespace boragehill::decide {

void residency_planner::load_bound_models(const fleet::service& service,
                                          time_point now) {
  std::set<std::pair<std::string, std::string>> seen;
  for (const auto& [name, adapter, software] : this->bound_models) {
    const auto* model = service.find_model(name);
    const bool is_new = seen.emplace(name, software).second;
    if (!model || !is_new || this->has_replica(name, software, now)) continue;
    const auto chosen = this->choose_worker(
        service, *model, std::numeric_limits<double>::max(), now, software);
    if (chosen) this->start_load(*chosen, "wake", now);
  }
}

bool residency_planner::has_replica(const std::string& model,
                                    const std::string& software,
                                    time_point now) const {
  return std::any_of(this->workers_by_id.begin(), this->workers_by_id.end(),
                     [&](const auto& item) {
                       const auto& worker = item.second;
                       return worker.has_software(software) &&
                              !worker.is_draining() &&
                              this->is_responsive(worker, now) &&
                              worker.has_target_model(model);
                     });
}

}  // namespace boragehill::decide
