#ifndef BORAGEHILL_DECIDE_RESIDENCY_ACTION_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_ACTION_HPP

#include <string>
#include <string_view>
#include <variant>

#include <boragehill/engine_order.hpp>

namespace boragehill::decide {

/// Why an order is issued; appears in the agent's log and metrics.
enum class order_reason {
  on_demand,
  evicted,
  keep_warm_expired,
  retired,
  not_granted,
  fence_engine,
};

/// Returns the reason as written to logs and metric labels.
constexpr std::string_view name_of(order_reason reason) noexcept {
  switch (reason) {
    case order_reason::on_demand:
      return "wake";
    case order_reason::evicted:
      return "evicted";
    case order_reason::keep_warm_expired:
      return "keep_warm_over";
    case order_reason::retired:
      return "retired";
    case order_reason::not_granted:
      return "not_granted";
    case order_reason::fence_engine:
      break;
  }
  return "fence_engine";
}

/// Send this order and report the response to `residency::on_order_done`.
struct send_order {
  engine_order order;
  order_reason reason = order_reason::on_demand;

  bool operator==(const send_order&) const = default;
};

/// Read the engine's state and report the response to `on_engine_state`, or
/// its absence to `on_engine_unresponsive`.
struct read_engine_state {
  bool operator==(const read_engine_state&) const = default;
};

/// Read this server's row, retrying until that succeeds, and report it to
/// `on_grants`.
struct read_grants {
  bool operator==(const read_grants&) const = default;
};

/// Acknowledge that the model is unloaded and its grant given up.
struct notify_given_up {
  std::string model;

  bool operator==(const notify_given_up&) const = default;
};

/// Report a model's changed state to its homes at once.
struct notify_model_changed {
  std::string model;

  bool operator==(const notify_model_changed&) const = default;
};

/// The engine process restarted and holds none of the earlier models.
struct notify_engine_restarted {
  bool operator==(const notify_engine_restarted&) const = default;
};

/// A later process of this agent took over: issue no more orders and admit no
/// more attempts.
struct notify_superseded {
  bool operator==(const notify_superseded&) const = default;
};

/// An action that `residency` requests from its caller.
using residency_action =
    std::variant<send_order, read_engine_state, read_grants, notify_given_up,
                 notify_model_changed, notify_engine_restarted,
                 notify_superseded>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_ACTION_HPP
