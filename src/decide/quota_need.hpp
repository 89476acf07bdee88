#ifndef BORAGEHILL_DECIDE_QUOTA_NEED_HPP
#define BORAGEHILL_DECIDE_QUOTA_NEED_HPP

#include <string>

namespace boragehill::decide {

/// The tokens that a router needs of a client account's quota, beyond those
/// that it holds.
struct quota_need {
  std::string account;
  /// For requests that only lack tokens.
  double waiting = 0;
  /// For the first of these requests; fewer tokens would be of no use.
  double first = 0;
  /// For requests that are to be expected.
  double ahead = 0;

  bool operator==(const quota_need&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUOTA_NEED_HPP
