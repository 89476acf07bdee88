#ifndef BORAGEHILL_WIRE_PACE_ANSWER_HPP
#define BORAGEHILL_WIRE_PACE_ANSWER_HPP

#include <cstdint>

namespace boragehill::wire {

/// Whether a remote load may start now.
struct pace_answer {
  bool start = true;
  /// The expected wait if not.
  std::int64_t wait_ms = 0;

  bool operator==(const pace_answer&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("start", self.start);
    visit("wait_ms", self.wait_ms);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_PACE_ANSWER_HPP
