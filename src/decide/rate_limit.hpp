#ifndef BORAGEHILL_DECIDE_RATE_LIMIT_HPP
#define BORAGEHILL_DECIDE_RATE_LIMIT_HPP

namespace boragehill::decide {

/// The rate limit of a backend server.
struct rate_limit {
  /// Requests per second from all routers together.
  double per_second = 0;
  /// Routers with requests that wait for the server, as last known.
  int waiting_routers = 0;

  bool operator==(const rate_limit&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RATE_LIMIT_HPP
