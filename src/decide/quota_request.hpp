#ifndef BORAGEHILL_DECIDE_QUOTA_REQUEST_HPP
#define BORAGEHILL_DECIDE_QUOTA_REQUEST_HPP

#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A request as input of the decision whether its account's quota admits it.
struct quota_request {
  std::string account;
  double cost = 1;
  /// Cost of the account's requests that wait at this router before it.
  double queued = 0;
  /// For how long it can wait.
  milliseconds patience{0};

  bool operator==(const quota_request&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUOTA_REQUEST_HPP
