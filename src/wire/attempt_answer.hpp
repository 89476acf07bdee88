#ifndef BORAGEHILL_WIRE_ATTEMPT_ANSWER_HPP
#define BORAGEHILL_WIRE_ATTEMPT_ANSWER_HPP

#include "wire/attempt_status.hpp"

namespace boragehill::wire {

/// What the agent knows of the attempt asked about.
struct attempt_answer {
  attempt_status status = attempt_status::forgotten;

  bool operator==(const attempt_answer&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("status", self.status);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ATTEMPT_ANSWER_HPP
