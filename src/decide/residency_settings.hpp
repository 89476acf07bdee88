#ifndef BORAGEHILL_DECIDE_RESIDENCY_SETTINGS_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Settings of `residency`.
struct residency_settings {
  /// Whether the engine rejects orders with an outdated fencing number.
  bool engine_checks_fence = true;
  /// The longest time that an order may take to reach the engine.
  milliseconds max_order_delivery{5000};
  /// Interval between reads of the engine's state.
  milliseconds state_poll_interval{1000};
  /// Interval between reads of this server's row in the table.
  milliseconds grants_poll_interval{10000};
  /// Keep-warm time of replicas found loaded, until a home requests a load.
  milliseconds default_keep_warm{60000};
  /// How long a newly loaded replica without a request is safe from eviction.
  milliseconds unused_protection{5000};
  /// How long a load request stays valid while the load cannot begin.
  milliseconds load_request_lifetime{60000};

  bool operator==(const residency_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_SETTINGS_HPP
