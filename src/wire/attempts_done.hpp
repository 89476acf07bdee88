#ifndef BORAGEHILL_WIRE_ATTEMPTS_DONE_HPP
#define BORAGEHILL_WIRE_ATTEMPTS_DONE_HPP

#include <vector>

#include <boragehill/endpoint.hpp>

#include "wire/attempt_end.hpp"

namespace boragehill::wire {

/// `home.done`: an entry router tells a home which attempts ended.
struct attempts_done {
  endpoint entry;
  std::vector<attempt_end> ends;

  bool operator==(const attempts_done&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("entry", self.entry);
    visit("ends", self.ends);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ATTEMPTS_DONE_HPP
