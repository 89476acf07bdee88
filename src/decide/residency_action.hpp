#ifndef BORAGEHILL_DECIDE_RESIDENCY_ACTION_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_ACTION_HPP

#include <string>
#include <string_view>
#include <variant>

#include <boragehill/engine_order.hpp>

namespace boragehill::decide {

/// Why an order goes out; the agent's log and metrics show it.
enum class order_reason {
  wake,
  evicted,
  keep_warm_over,
  retired,
  not_granted,
  fence_engine,
};

/// Returns the reason's name for logs and metric labels.
constexpr std::string_view name_of(order_reason reason) noexcept {
  switch (reason) {
    case order_reason::wake:
      return "wake";
    case order_reason::evicted:
      return "evicted";
    case order_reason::keep_warm_over:
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

/// Send this order; answer with `residency::on_order_done`.
struct send_order {
  engine_order order;
  order_reason reason = order_reason::wake;

  bool operator==(const send_order&) const = default;
};

/// Read the engine's state; answer with `on_engine_state` or
/// `on_engine_lost`.
struct read_engine_state {
  bool operator==(const read_engine_state&) const = default;
};

/// Read the own row until it works; answer with `on_grants`.
struct read_grants {
  bool operator==(const read_grants&) const = default;
};

/// The model is unloaded and its grant given back: acknowledge it.
struct note_given_up {
  std::string model;

  bool operator==(const note_given_up&) const = default;
};

/// A model's state changed: tell its homes at once.
struct note_changed {
  std::string model;

  bool operator==(const note_changed&) const = default;
};

/// The engine process is another one and holds nothing of the former.
struct note_engine_restarted {
  bool operator==(const note_engine_restarted&) const = default;
};

/// A later start of this agent has taken over: order and admit nothing more.
struct note_overtaken {
  bool operator==(const note_overtaken&) const = default;
};

/// What the state machine asks its shell to do.
using residency_action =
    std::variant<send_order, read_engine_state, read_grants, note_given_up,
                 note_changed, note_engine_restarted, note_overtaken>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_ACTION_HPP
