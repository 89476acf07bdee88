#ifndef BORAGEHILL_FLEET_CALLER_LIMITS_HPP
#define BORAGEHILL_FLEET_CALLER_LIMITS_HPP

#include <cstddef>

#include <boragehill/time_point.hpp>

namespace boragehill::fleet {

/// What a caller may send, and how slowly. The defaults hold until the first
/// catalog is read.
struct caller_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  /// From the first byte of a request's head to its last.
  milliseconds header_timeout{3000};
  /// Between two requests on one connection.
  milliseconds idle_timeout{15000};

  bool operator==(const caller_limits&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_CALLER_LIMITS_HPP
