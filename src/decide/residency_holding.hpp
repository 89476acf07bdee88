#ifndef BORAGEHILL_DECIDE_RESIDENCY_HOLDING_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_HOLDING_HPP

#include <cstdint>
#include <optional>

#include <boragehill/time_point.hpp>

#include "wire/replica_state.hpp"

namespace boragehill::decide {

/// State of one base model or adapter in an agent's `residency`.
struct residency_holding {
  wire::replica_state state = wire::replica_state::cold;
  /// Memory that a load of it reserves.
  std::uint64_t bytes = 0;
  std::uint32_t running_attempts = 0;
  time_point last_used{};
  /// How long it stays loaded when idle; negative: as long as it is granted.
  milliseconds keep_warm{0};
  /// No eviction before this time, so that a newly loaded replica serves a
  /// request first.
  time_point protected_until{};
  /// When a load was first requested, and when that request expires.
  std::optional<time_point> wanted_since;
  time_point wanted_until{};
  /// Whether its grant is to be given up.
  bool retiring = false;

  /// Returns whether it is loaded without a running attempt.
  bool is_idle() const {
    return this->state == wire::replica_state::ready &&
           this->running_attempts == 0;
  }

  /// Returns whether a load request for it is pending.
  bool is_wanted(time_point now) const {
    return this->wanted_since.has_value() && now < this->wanted_until;
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_HOLDING_HPP
