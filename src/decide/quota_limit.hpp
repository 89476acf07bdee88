#ifndef BORAGEHILL_DECIDE_QUOTA_LIMIT_HPP
#define BORAGEHILL_DECIDE_QUOTA_LIMIT_HPP

#include <string>

namespace boragehill::decide {

/// What a client account may use, over all routers together.
struct quota_limit {
  std::string account;
  /// Cost units per second; more than 0.
  double per_second = 0;
  /// Cost units beyond that at once.
  double burst = 0;

  bool operator==(const quota_limit&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUOTA_LIMIT_HPP
