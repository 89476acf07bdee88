#ifndef BORAGEHILL_DECIDE_DEMAND_REPORT_HPP
#define BORAGEHILL_DECIDE_DEMAND_REPORT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "decide/model_demand.hpp"
#include "decide/model_in_flight.hpp"

namespace boragehill::decide {

/// Requests and server states that one router reports to the planner. `demands`
/// covers the time since the last report, `in_flight` is the current state.
struct demand_report {
  std::vector<model_demand> demands;
  std::vector<model_in_flight> in_flight;
  /// Servers from which the router receives nothing.
  std::vector<std::string> unresponsive_servers;
  /// Servers to which the router's connections failed lately.
  std::vector<std::string> unreachable_servers;
  /// The last round of slot grants that the router received; 0 before the
  /// first.
  std::uint64_t last_grant_round = 0;

  bool operator==(const demand_report&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_DEMAND_REPORT_HPP
