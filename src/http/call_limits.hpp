#ifndef BORAGEHILL_HTTP_CALL_LIMITS_HPP
#define BORAGEHILL_HTTP_CALL_LIMITS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::http {

/// How long a call may take.
struct call_limits {
  /// From the call to the first byte of the response.
  milliseconds response{0};
  /// From one piece of the response to the next.
  milliseconds stall{0};
  /// From the call to the end of the response.
  milliseconds total{0};

  bool operator==(const call_limits&) const = default;
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_CALL_LIMITS_HPP
