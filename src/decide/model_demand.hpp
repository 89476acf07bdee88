#ifndef BORAGEHILL_DECIDE_MODEL_DEMAND_HPP
#define BORAGEHILL_DECIDE_MODEL_DEMAND_HPP

#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// What a router saw of the requests for one model, or one adapter of it,
/// since its last report.
struct model_demand {
  std::string service;
  std::string model;
  /// Empty for the model without an adapter.
  std::string adapter;
  int arrivals = 0;
  /// Requests that wait now because no worker holds it.
  int waiting = 0;
  /// How long the oldest of them has waited.
  milliseconds oldest{0};
  /// What the waiting requests are worth together, against one of the most
  /// urgent kind.
  double worth = 0;

  bool operator==(const model_demand&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MODEL_DEMAND_HPP
