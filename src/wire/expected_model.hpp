#ifndef BORAGEHILL_WIRE_EXPECTED_MODEL_HPP
#define BORAGEHILL_WIRE_EXPECTED_MODEL_HPP

#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::wire {

/// When the planner expects a model that is asked for to be on a worker.
struct expected_model {
  std::string model;
  /// From the message's sending.
  milliseconds ready_in{0};

  bool operator==(const expected_model&) const = default;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_EXPECTED_MODEL_HPP
