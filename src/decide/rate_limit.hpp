#ifndef BORAGEHILL_DECIDE_RATE_LIMIT_HPP
#define BORAGEHILL_DECIDE_RATE_LIMIT_HPP

#include <algorithm>

namespace boragehill::decide {

/// The rate limit of a backend server.
struct rate_limit {
  /// Requests per second from all routers together.
  double per_second = 0;
  /// Routers with requests that wait for the server, as last known.
  int waiting_routers = 0;

  bool operator==(const rate_limit&) const = default;

  /// Requests per second by which a server that takes none is asked whether it
  /// still does.
  static constexpr double min_token_rate = 0.1;

  /// \return Tokens per second.
  double token_rate() const {
    return std::max(this->per_second, min_token_rate);
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RATE_LIMIT_HPP
