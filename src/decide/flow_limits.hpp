#ifndef BORAGEHILL_DECIDE_FLOW_LIMITS_HPP
#define BORAGEHILL_DECIDE_FLOW_LIMITS_HPP

#include <cstddef>
#include <cstdint>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// The limits of one request's flow.
struct flow_limits {
  /// Attempts for one request, the first included; those that their agent
  /// refused as busy, or for a like reason, are not counted.
  std::uint32_t max_attempts = 8;
  /// Homes asked in turn before the request is refused.
  std::size_t max_homes = 3;
  /// How often an agent that does not answer is asked about an attempt.
  std::uint32_t max_fate_asks = 3;
  /// How long one question to an agent may take; none is asked that could end
  /// after the deadline.
  milliseconds fate_time{500};
  /// Backoff between attempts, before jitter, doubling up to the cap.
  milliseconds backoff_base{20};
  milliseconds backoff_cap{1000};
  /// When to come back after a refusal that names no better time.
  milliseconds default_retry_after{1000};

  bool operator==(const flow_limits&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_FLOW_LIMITS_HPP
