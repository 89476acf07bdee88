#ifndef BORAGEHILL_DECIDE_RATE_LIMIT_ANNOUNCEMENT_HPP
#define BORAGEHILL_DECIDE_RATE_LIMIT_ANNOUNCEMENT_HPP

#include <optional>
#include <string>

namespace boragehill::decide {

/// What a backend server said of its rate limit in a response.
struct rate_limit_announcement {
  /// Identifies the incarnation of the server.
  std::string server;
  /// Requests per second from all routers together; nothing if it is unlimited.
  std::optional<double> limit;

  bool operator==(const rate_limit_announcement&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RATE_LIMIT_ANNOUNCEMENT_HPP
