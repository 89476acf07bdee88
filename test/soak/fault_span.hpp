#ifndef BORAGEHILL_SOAK_FAULT_SPAN_HPP
#define BORAGEHILL_SOAK_FAULT_SPAN_HPP

#include <chrono>

#include "soak/fault_kind.hpp"

namespace boragehill::soak {

/// A fault that was in force, from its begin until all is as before.
struct fault_span {
  fault_kind kind = fault_kind::configuration;
  int target = 1;
  std::chrono::steady_clock::time_point begin;
  std::chrono::steady_clock::time_point end;

  bool operator==(const fault_span&) const = default;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_FAULT_SPAN_HPP
