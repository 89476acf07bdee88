#ifndef BORAGEHILL_DECIDE_MODEL_IN_FLIGHT_HPP
#define BORAGEHILL_DECIDE_MODEL_IN_FLIGHT_HPP

#include <string>

namespace boragehill::decide {

/// In-flight requests of one router for one model at one server.
struct model_in_flight {
  std::string server;
  std::string model;
  /// Empty for the model without an adapter.
  std::string adapter;
  int requests = 0;

  bool operator==(const model_in_flight&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MODEL_IN_FLIGHT_HPP
