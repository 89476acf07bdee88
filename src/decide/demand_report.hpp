#ifndef BORAGEHILL_DECIDE_DEMAND_REPORT_HPP
#define BORAGEHILL_DECIDE_DEMAND_REPORT_HPP

#include <string>
#include <vector>

#include "decide/model_demand.hpp"
#include "decide/model_flight.hpp"

namespace boragehill::decide {

/// What one router tells the planner. `demands` are since the last report,
/// `flights` as of now.
struct demand_report {
  std::vector<model_demand> demands;
  std::vector<model_flight> flights;
  /// Servers of which nothing is heard.
  std::vector<std::string> silent;

  bool operator==(const demand_report&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_DEMAND_REPORT_HPP
