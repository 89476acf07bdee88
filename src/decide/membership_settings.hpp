#ifndef BORAGEHILL_DECIDE_MEMBERSHIP_SETTINGS_HPP
#define BORAGEHILL_DECIDE_MEMBERSHIP_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Bounds of `membership`.
struct membership_settings {
  /// How long a process not yet listed counts as live after a heartbeat.
  milliseconds heartbeat_keep{5000};
  /// How long a failed call keeps a process suspected.
  milliseconds suspect_for{5000};
  /// How long list reads must lack a VM, and no heartbeat come from it, before
  /// it is gone; longer than the list lags.
  milliseconds gone_after{30000};

  bool operator==(const membership_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MEMBERSHIP_SETTINGS_HPP
