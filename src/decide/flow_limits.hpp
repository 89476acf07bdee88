#ifndef BORAGEHILL_DECIDE_FLOW_LIMITS_HPP
#define BORAGEHILL_DECIDE_FLOW_LIMITS_HPP

#include <cstddef>
#include <cstdint>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Limits of one request at its entry router, see `request_flow`.
struct flow_limits {
  /// Maximum number of attempts, including the first. Transient refusals by an
  /// agent, such as `server_busy`, aren't counted.
  std::uint32_t max_attempts = 8;
  /// Homes tried in turn before the request is refused.
  std::size_t max_homes = 3;
  /// Maximum number of status queries for an attempt whose agent does not
  /// respond.
  std::uint32_t max_status_queries = 3;
  /// Time limit of one status query to an agent. No query is sent that could
  /// end after the deadline.
  milliseconds status_query_timeout{500};
  /// Base of the backoff between attempts: the wait after attempt n, counted
  /// from 1, is at most base * 2^n and at most the cap.
  milliseconds backoff_base{20};
  milliseconds backoff_cap{1000};
  /// Retry-after period of refusals that have no period of their own.
  milliseconds default_retry_after{1000};

  bool operator==(const flow_limits&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_FLOW_LIMITS_HPP
