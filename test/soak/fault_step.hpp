#ifndef BORAGEHILL_SOAK_FAULT_STEP_HPP
#define BORAGEHILL_SOAK_FAULT_STEP_HPP

#include <chrono>

#include "soak/fault_kind.hpp"
#include "soak/link_fault.hpp"

namespace boragehill::soak {

/// One fault of a run.
struct fault_step {
  /// From the run's begin.
  std::chrono::milliseconds at{0};
  fault_kind kind = fault_kind::configuration;
  /// The number of the router, agent or server, from 1 on.
  int target = 1;
  std::chrono::milliseconds lasts{0};
  /// For faults of links.
  link_fault link = link_fault::none;

  bool operator==(const fault_step&) const = default;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_FAULT_STEP_HPP
