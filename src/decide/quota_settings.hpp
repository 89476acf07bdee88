#ifndef BORAGEHILL_DECIDE_QUOTA_SETTINGS_HPP
#define BORAGEHILL_DECIDE_QUOTA_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// The bound that the quotas of client accounts keep to: in any window, an
/// account's sends cost at most (rate x window + burst) x (1 + over) + slack.
struct quota_settings {
  milliseconds window{8000};
  /// The fraction by which the sends of a window may exceed the quota.
  double over = 0.1;
  /// Cost units that a window may have beyond that, over all routers together.
  double slack = 17000;

  bool operator==(const quota_settings&) const = default;

  /// \return The part of the slack that the planner's buckets hold beyond the
  ///     burst, so that requests that arrive by chance together aren't
  ///     rejected.
  double planner_slack() const { return this->slack * 0.4; }

  /// \return The part that the buckets of a new planner begin with. What an
  ///     earlier one granted isn't known, so they begin without the burst.
  double initial_planner_slack() const { return this->slack * 0.2; }

  /// \return The part that the routers' buckets hold when they lose the
  ///     planner, which may just have granted its own part. The rest of the
  ///     slack covers the requests that overdraw a router's bucket.
  double local_slack() const { return this->slack * 0.3; }

  /// \return The time for which granted tokens may be spent. The sends of a
  ///     window rest on the grants of the window and this time, so it may be at
  ///     most `over` of the window; an eighth is left for the transit.
  milliseconds grant_lifetime() const {
    constexpr double used = 0.875;
    return milliseconds(static_cast<milliseconds::rep>(
        static_cast<double>(this->window.count()) * this->over * used));
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUOTA_SETTINGS_HPP
