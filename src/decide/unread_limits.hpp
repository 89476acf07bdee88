#ifndef BORAGEHILL_DECIDE_UNREAD_LIMITS_HPP
#define BORAGEHILL_DECIDE_UNREAD_LIMITS_HPP

#include <algorithm>

namespace boragehill::decide {

/// How many prompt tokens of a router may lie unread at a server that gets one
/// more request of it.
///
/// The load they answer: a worker reads a long prompt for more than a second,
/// and all that is sent meanwhile lies behind it. What a server has can't be
/// taken back, since it may run: it doesn't go to another server that has room
/// by then, isn't refused truthfully, and is lost with its callers if the
/// server stands still. What waits in the router can do all of that.
struct unread_limits {
  /// Of all routers. A worker reads so many in half a second, so it never
  /// stands idle for want of what waits in routers.
  int at_server = 16000;
  /// Of one router, for a request that is late already: four routers then keep
  /// a server reading for 0.2 s.
  int late = 2000;

  bool operator==(const unread_limits&) const = default;

  /// \param is_late The request's latency objective has passed.
  /// \param routers That send to the server; at least 1.
  /// \return The most tokens that this router may have unread there.
  int of_router(bool is_late, int routers) const {
    const int share = this->at_server / std::max(routers, 1);
    return is_late ? std::min(this->late, share) : share;
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_UNREAD_LIMITS_HPP
