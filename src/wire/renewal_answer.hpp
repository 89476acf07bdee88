#ifndef BORAGEHILL_WIRE_RENEWAL_ANSWER_HPP
#define BORAGEHILL_WIRE_RENEWAL_ANSWER_HPP

#include <string>
#include <vector>

namespace boragehill::wire {

/// The answer to `home.renew`.
struct renewal_answer {
  /// Attempts that the home does not hold: ask again for a permit.
  std::vector<std::string> unknown;

  bool operator==(const renewal_answer&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("unknown", self.unknown);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_RENEWAL_ANSWER_HPP
