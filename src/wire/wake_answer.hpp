#ifndef BORAGEHILL_WIRE_WAKE_ANSWER_HPP
#define BORAGEHILL_WIRE_WAKE_ANSWER_HPP

#include <cstdint>

namespace boragehill::wire {

/// The answer to `agent.wake`.
struct wake_answer {
  /// A `result_code`: ok (ready or loading), no_grant, no_memory, draining,
  /// engine_down.
  std::int32_t code = 0;
  /// Expected time to ready.
  std::int64_t ready_in_ms = 0;

  bool operator==(const wake_answer&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("code", self.code);
    visit("ready_in_ms", self.ready_in_ms);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_WAKE_ANSWER_HPP
