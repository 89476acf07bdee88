#ifndef BORAGEHILL_DECIDE_RESIDENCY_HOLDING_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_HOLDING_HPP

#include <cstdint>
#include <optional>

#include <boragehill/time_point.hpp>

#include "wire/replica_state.hpp"

namespace boragehill::decide {

/// A base model or adapter as its agent's residency keeps it.
struct residency_holding {
  wire::replica_state state = wire::replica_state::cold;
  /// What a load of it reserves.
  std::uint64_t bytes = 0;
  /// Attempts running on it.
  std::uint32_t users = 0;
  time_point last_used{};
  /// Negative while it is kept for as long as its grant stands.
  milliseconds keep_warm{0};
  /// Loaded for a wake and not used yet; evicted only after that.
  time_point fresh_until{};
  /// When it was first asked for, and until when that holds.
  std::optional<time_point> wanted_since;
  time_point wanted_until{};
  /// Its grant is to be given back.
  bool retiring = false;

  /// Returns whether it is loaded and nothing runs on it.
  bool idle() const {
    return this->state == wire::replica_state::ready && this->users == 0;
  }

  /// Returns whether a wake asks for it still.
  bool wanted(time_point now) const {
    return this->wanted_since.has_value() && now < this->wanted_until;
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_HOLDING_HPP
