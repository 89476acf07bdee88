#include "decide/awaited_models.hpp"

namespace boragehill::decide {

std::map<std::string, time_point> awaited_models(
    const std::map<std::string, time_point>& ready_times,
    const demand_report& demand) {
  std::map<std::string, time_point> awaited;
  for (const auto& each : demand.demands) {
    if (each.waiting == 0) continue;
    const auto found = ready_times.find(each.model);
    if (found != ready_times.end()) awaited.insert(*found);
  }
  return awaited;
}

}  // namespace boragehill::decide
