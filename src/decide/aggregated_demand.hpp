#ifndef BORAGEHILL_DECIDE_AGGREGATED_DEMAND_HPP
#define BORAGEHILL_DECIDE_AGGREGATED_DEMAND_HPP

#include <map>
#include <string>

#include <boragehill/time_point.hpp>

#include "decide/decaying_sum.hpp"

namespace boragehill::decide {

/// Demand for one model, aggregated over the reports of all routers.
struct aggregated_demand {
  /// Recent requests, decaying over a window of 15 s; determines the eviction
  /// cost.
  decaying_sum recent_arrivals{milliseconds(15000)};
  /// Requests that wait for the model, over all routers.
  int waiting = 0;
  double waiting_weight = 0;
  milliseconds oldest_wait{0};
  /// Waiting requests by adapter.
  std::map<std::string, int> adapter_waiting;
  /// When each adapter was last requested.
  std::map<std::string, time_point> adapter_last_requested;
  /// Requests that are in flight at workers.
  int in_flight = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_AGGREGATED_DEMAND_HPP
