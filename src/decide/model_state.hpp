#ifndef BORAGEHILL_DECIDE_MODEL_STATE_HPP
#define BORAGEHILL_DECIDE_MODEL_STATE_HPP

#include <map>
#include <string>

#include <boragehill/time_point.hpp>

#include "decide/decaying_sum.hpp"

namespace boragehill::decide {

/// What the planner knows of the demand for one model.
struct model_state {
  /// Requests over the last while; weighs which model may be dropped.
  decaying_sum arrivals{milliseconds(15000)};
  /// Requests that wait for the model, over all routers.
  int waiting = 0;
  double waiting_worth = 0;
  milliseconds oldest{0};
  /// Requests waiting for each adapter of it.
  std::map<std::string, int> adapter_waiting;
  /// When each adapter was last asked for.
  std::map<std::string, time_point> adapter_asked;
  /// Requests that are at workers now.
  int flying = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MODEL_STATE_HPP
