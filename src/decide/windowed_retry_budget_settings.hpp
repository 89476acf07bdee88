#ifndef BORAGEHILL_DECIDE_WINDOWED_RETRY_BUDGET_SETTINGS_HPP
#define BORAGEHILL_DECIDE_WINDOWED_RETRY_BUDGET_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Bounds of the retries that a service may get, see `windowed_retry_budget`.
struct windowed_retry_budget_settings {
  /// Retries allowed per request, over all routers.
  double retries_per_request = 0.2;
  /// Additional retries allowed per window, over all routers.
  double constant_retries = 50;
  /// Length of the sliding window.
  milliseconds window{10000};

  bool operator==(const windowed_retry_budget_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WINDOWED_RETRY_BUDGET_SETTINGS_HPP
