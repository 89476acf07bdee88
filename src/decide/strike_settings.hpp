#ifndef BORAGEHILL_DECIDE_STRIKE_SETTINGS_HPP
#define BORAGEHILL_DECIDE_STRIKE_SETTINGS_HPP

#include <cstddef>
#include <cstdint>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Bounds of `strikes`.
struct strike_settings {
  /// Strikes that convict.
  std::uint32_t limit = 2;
  /// The most fingerprints remembered.
  std::size_t capacity = 10000;
  /// How long a strike or conviction is remembered.
  milliseconds keep{3600000};

  bool operator==(const strike_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STRIKE_SETTINGS_HPP
