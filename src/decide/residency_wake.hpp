#ifndef BORAGEHILL_DECIDE_RESIDENCY_WAKE_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_WAKE_HPP

#include <cstdint>
#include <string>

#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A home's wish that a granted model, perhaps with an adapter, be ready.
struct residency_wake {
  std::string model;
  std::string adapter;
  std::uint64_t bytes = 0;
  std::uint64_t adapter_bytes = 0;
  /// Negative keeps it loaded for as long as the grant stands.
  milliseconds keep_warm{0};

  bool operator==(const residency_wake&) const = default;
};

/// The answer to a wake.
struct residency_wake_outcome {
  /// ok (ready or on the way), no_grant, no_memory, draining or engine_down.
  result_code code = result_code::ok;
  /// The expected time to ready.
  milliseconds ready_in{0};

  bool operator==(const residency_wake_outcome&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_WAKE_HPP
