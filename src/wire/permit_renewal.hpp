#ifndef BORAGEHILL_WIRE_PERMIT_RENEWAL_HPP
#define BORAGEHILL_WIRE_PERMIT_RENEWAL_HPP

#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

namespace boragehill::wire {

/// `home.renew`: an entry router's waiting requests at one home. It keeps them
/// queued, and its failure tells the entry that the home is gone.
struct permit_renewal {
  endpoint entry;
  std::vector<std::string> attempts;

  bool operator==(const permit_renewal&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("entry", self.entry);
    visit("attempts", self.attempts);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_PERMIT_RENEWAL_HPP
