#ifndef BORAGEHILL_DECIDE_CRASH_ATTRIBUTION_SETTINGS_HPP
#define BORAGEHILL_DECIDE_CRASH_ATTRIBUTION_SETTINGS_HPP

#include <cstddef>
#include <cstdint>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Bounds of `crash_attribution`.
struct crash_attribution_settings {
  /// Crashes after which a request is quarantined.
  std::uint32_t crash_limit = 2;
  /// Maximum number of stored fingerprints.
  std::size_t capacity = 10000;
  /// How long a crash or a quarantine is kept.
  milliseconds retention{3600000};

  bool operator==(const crash_attribution_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CRASH_ATTRIBUTION_SETTINGS_HPP
