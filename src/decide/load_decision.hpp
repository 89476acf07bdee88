#ifndef BORAGEHILL_DECIDE_LOAD_DECISION_HPP
#define BORAGEHILL_DECIDE_LOAD_DECISION_HPP

#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A load that the planner decided, with the figures behind the decision.
struct load_decision {
  std::string server;
  std::string model;
  /// "wake" (requests wait for the model), "relief" (scale-out), "stock"
  /// (preload) or "ahead" (prefetch from the store).
  std::string reason;
  /// Models that are evicted for it.
  std::vector<std::string> evicted_models;
  milliseconds load_time{0};
  bool from_store = false;
  /// Expected cost in seconds of waiting, summed over all requests; negative
  /// for a preload, whose gain it is.
  double cost_seconds = 0;
  /// Requests that wait for the model, and requests that are at workers.
  int waiting = 0;
  int in_flight = 0;
  int replicas = 0;

  bool operator==(const load_decision&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_LOAD_DECISION_HPP
