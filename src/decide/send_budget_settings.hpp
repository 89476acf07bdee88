#ifndef BORAGEHILL_DECIDE_SEND_BUDGET_SETTINGS_HPP
#define BORAGEHILL_DECIDE_SEND_BUDGET_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Bounds of the arrivals at a service beyond the first of each request.
struct send_budget_settings {
  /// Repeats allowed for each request, over all routers.
  double ratio = 0.2;
  /// Repeats allowed besides, in a window, over all routers.
  double extra = 50;
  /// The sliding window.
  milliseconds window{10000};

  bool operator==(const send_budget_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SEND_BUDGET_SETTINGS_HPP
