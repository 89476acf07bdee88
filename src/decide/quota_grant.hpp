#ifndef BORAGEHILL_DECIDE_QUOTA_GRANT_HPP
#define BORAGEHILL_DECIDE_QUOTA_GRANT_HPP

#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Tokens of a client account's quota that the planner grants a router.
struct quota_grant {
  std::string account;
  double tokens = 0;
  /// Until the quota covers what all routers need of it now; 0 if it does.
  milliseconds exhausted_for{0};

  bool operator==(const quota_grant&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUOTA_GRANT_HPP
