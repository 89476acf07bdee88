#ifndef BORAGEHILL_DECIDE_MODEL_STATE_HPP
#define BORAGEHILL_DECIDE_MODEL_STATE_HPP

#include <map>
#include <string>

#include <boragehill/time_point.hpp>

#include "decide/decaying_sum.hpp"

namespace boragehill::decide {

/// Demand for one model, aggregated over the reports of all routers.
struct model_state {
  /// Recent requests, decaying over a window of 15 s; determines the eviction
  /// cost.
  decaying_sum arrivals{milliseconds(15000)};
  /// Requests that wait for the model, over all routers.
  int waiting = 0;
  double waiting_worth = 0;
  milliseconds oldest{0};
  /// Waiting requests by adapter.
  std::map<std::string, int> adapter_waiting;
  /// When each adapter was last requested.
  std::map<std::string, time_point> adapter_asked;
  /// Requests that are in flight at workers.
  int flying = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MODEL_STATE_HPP
