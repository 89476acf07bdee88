#ifndef BORAGEHILL_DECIDE_MODEL_DEMAND_HPP
#define BORAGEHILL_DECIDE_MODEL_DEMAND_HPP

#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Requests for one model, or one of its adapters, that a router received since
/// its last report.
struct model_demand {
  std::string service;
  std::string model;
  /// Empty for the model without an adapter.
  std::string adapter;
  /// The software version of the only servers that may take the waiting
  /// requests, whose streams have begun there; empty if any may.
  std::string software;
  int arrivals = 0;
  /// Requests that wait now because the model is not loaded on any worker.
  int waiting = 0;
  /// Those of them that can't meet their latency objective any more.
  int late = 0;
  /// How long the oldest of them has waited.
  milliseconds oldest_wait{0};
  /// Sum of the weights of the waiting requests; a request of the highest
  /// priority has weight 1.
  double weight = 0;

  bool operator==(const model_demand&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MODEL_DEMAND_HPP
