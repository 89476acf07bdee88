#ifndef BORAGEHILL_WIRE_ATTEMPT_END_HPP
#define BORAGEHILL_WIRE_ATTEMPT_END_HPP

#include <string>

#include "wire/attempt_outcome.hpp"

namespace boragehill::wire {

/// How one attempt ended, told to the home so that its place is free again.
struct attempt_end {
  std::string attempt;
  std::string target;
  std::string server;
  std::string fingerprint;
  attempt_outcome outcome = attempt_outcome::answered;

  bool operator==(const attempt_end&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
    visit("target", self.target);
    visit("server", self.server);
    visit("fingerprint", self.fingerprint);
    visit("outcome", self.outcome);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ATTEMPT_END_HPP
