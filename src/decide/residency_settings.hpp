#ifndef BORAGEHILL_DECIDE_RESIDENCY_SETTINGS_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// How an agent treats the engine beside it.
struct residency_settings {
  /// Whether the engine refuses orders with an old fencing number.
  bool engine_checks_fence = true;
  /// How long an order may be under way before it reaches the engine.
  milliseconds wait_out{5000};
  /// Between two readings of the engine's state.
  milliseconds state_poll{1000};
  /// Between two readings of the own row in the table.
  milliseconds grants_poll{10000};
  /// For replicas that were found loaded and that no home woke yet.
  milliseconds keep_warm{60000};
  /// How long a fresh replica waits for its first request before a wake may
  /// evict it.
  milliseconds protect_fresh{5000};
  /// How long a wake stays in force while its load cannot begin.
  milliseconds wake_stays{60000};

  bool operator==(const residency_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_SETTINGS_HPP
