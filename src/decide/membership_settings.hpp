#ifndef BORAGEHILL_DECIDE_MEMBERSHIP_SETTINGS_HPP
#define BORAGEHILL_DECIDE_MEMBERSHIP_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Settings of `membership`.
struct membership_settings {
  /// How long an unlisted process counts as live after a heartbeat.
  milliseconds heartbeat_timeout{5000};
  /// How long a process is suspected after a failed call.
  milliseconds suspect_for{5000};
  /// How long a VM must be absent from the list, and send no heartbeat, before
  /// it counts as removed. Must be longer than the list lags.
  milliseconds removal_delay{30000};

  bool operator==(const membership_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MEMBERSHIP_SETTINGS_HPP
