#ifndef BORAGEHILL_DECIDE_QUOTA_DECISION_HPP
#define BORAGEHILL_DECIDE_QUOTA_DECISION_HPP

#include <variant>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// The request may be sent: there are tokens for it.
struct quota_admission {
  bool operator==(const quota_admission&) const = default;
};

/// The request waits for tokens.
struct quota_wait {
  bool operator==(const quota_wait&) const = default;
};

/// The quota is exhausted for longer than the request can wait.
struct quota_rejection {
  milliseconds retry_after{0};

  bool operator==(const quota_rejection&) const = default;
};

/// What the quota of its client account means for a request.
using quota_decision =
    std::variant<quota_admission, quota_wait, quota_rejection>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUOTA_DECISION_HPP
