#ifndef BORAGEHILL_DECIDE_WINDOWED_RETRY_BUDGET_HPP
#define BORAGEHILL_DECIDE_WINDOWED_RETRY_BUDGET_HPP

#include <deque>
#include <optional>

#include <boragehill/time_point.hpp>

#include "decide/windowed_retry_budget_settings.hpp"

namespace boragehill::decide {

/// Sliding-window retry budget: one router's share of the retries that a
/// service may get in any window. Unlike `retry_token_bucket`, it bounds the
/// retries of all routers together.
///
/// Without a bound, a fault that fails every attempt multiplies the load when
/// there is least capacity. Routers share the bound without communicating: the
/// proportional part follows a router's own traffic, the constant part is
/// divided by the number of routers, and only `used_fraction` of the sum is
/// used, because the windows of the routers aren't aligned.
class windowed_retry_budget {
 public:
  /// The fraction of the bound that is used.
  static constexpr double used_fraction = 0.8;

  explicit windowed_retry_budget(const windowed_retry_budget_settings& settings)
      : settings(settings) {}

  /// Counts one request of a caller.
  void on_request(time_point now);

  /// Takes one retry, an attempt after a request's first.
  /// \param routers The number of routers that share the bound. As long as it
  ///     isn't known, nothing is used of the constant part.
  /// \return False if the share is exhausted: the request must not be retried.
  bool take_retry(time_point now, std::optional<int> routers);

  /// \return The number of retries that could be taken now.
  double retries_left(time_point now, std::optional<int> routers);

 private:
  void drop_expired(time_point now);

  windowed_retry_budget_settings settings;
  std::deque<time_point> requests;
  std::deque<time_point> retries;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WINDOWED_RETRY_BUDGET_HPP
