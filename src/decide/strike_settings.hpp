#ifndef BORAGEHILL_DECIDE_STRIKE_SETTINGS_HPP
#define BORAGEHILL_DECIDE_STRIKE_SETTINGS_HPP

#include <cstddef>
#include <cstdint>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Bounds of `crash_attribution`.
struct strike_settings {
  /// Crashes after which a request is quarantined.
  std::uint32_t limit = 2;
  /// Maximum number of stored fingerprints.
  std::size_t capacity = 10000;
  /// How long a crash or a quarantine is kept.
  milliseconds keep{3600000};

  bool operator==(const strike_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STRIKE_SETTINGS_HPP
