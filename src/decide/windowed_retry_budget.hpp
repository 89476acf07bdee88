#ifndef BORAGEHILL_DECIDE_WINDOWED_RETRY_BUDGET_HPP
#define BORAGEHILL_DECIDE_WINDOWED_RETRY_BUDGET_HPP

#include <deque>
#include <optional>

#include <boragehill/time_point.hpp>

#include "decide/windowed_retry_budget_settings.hpp"

namespace boragehill::decide {

/// Retry budget of one router: its part of the retries that a service may get
/// in any window. Unlike `retry_token_bucket`, it bounds the retries of all
/// routers together.
///
/// Without a bound, a fault that fails every attempt multiplies the load when
/// there is least capacity. Routers share the bound without communicating:
/// requests of a router and time earn it credits, and each retry takes one. A
/// credit expires one window after it was earned, so the retries of a window
/// rest on the credits of two, and half of the bound is earned in each. A
/// process starts without credits, since it can't know what an earlier one of
/// the same router has used.
///
/// A retry is granted when a credit is left for it, and takes the credit when
/// it is sent: it may wait for a server in between, and what arrives in a
/// window is what counts.
class windowed_retry_budget {
 public:
  /// The fraction of the bound that is used. The rest covers retries that
  /// arrive later than others, and changes of the number of routers.
  static constexpr double used_fraction = 0.9;

  explicit windowed_retry_budget(const windowed_retry_budget_settings& settings)
      : settings(settings) {}

  /// Counts one request of a caller.
  void on_request(time_point now);

  /// Grants one retry, an attempt after a request's first.
  /// \param routers The number of routers that share the bound. As long as it
  ///     isn't known, nothing is used of the constant part.
  /// \return False if no credit is left: the request must not be retried.
  bool grant_retry(time_point now, std::optional<int> routers);

  /// \return False if the credits expired while a granted retry waited: it must
  ///     not be sent before new ones are earned.
  bool may_send_retry(time_point now, std::optional<int> routers);

  /// Takes the credit of a granted retry that is sent.
  void on_retry_sent();

  /// A granted retry will not be sent.
  void on_retry_dropped() { --this->granted; }

  /// \return The number of retries that could be granted now.
  double retries_left(time_point now, std::optional<int> routers);

 private:
  /// The part of the bound that is earned in one window.
  static constexpr double earned_fraction = used_fraction / 2;

  /// \return The credits, also those of granted retries.
  double credits(time_point now, std::optional<int> routers);
  void drop_expired(time_point now);
  void earn_by_time(time_point now, std::optional<int> routers);
  /// \return The credits that one request earns.
  double credit_per_request() const;

  windowed_retry_budget_settings settings;
  /// Requests whose credits have not expired.
  std::deque<time_point> requests;
  double request_credits = 0;
  double time_credits = 0;
  /// Retries that were granted and neither sent nor dropped.
  int granted = 0;
  /// Until when time has earned credits; nothing if it earns none.
  std::optional<time_point> earned_until;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WINDOWED_RETRY_BUDGET_HPP
