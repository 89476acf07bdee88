#ifndef BORAGEHILL_WIRE_CATALOG_ANSWER_HPP
#define BORAGEHILL_WIRE_CATALOG_ANSWER_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace boragehill::wire {

/// `peer.catalog`: everything published, as a router holds it in force.
struct catalog_answer {
  std::uint64_t revision = 0;
  /// Each profile as its table row's JSON text.
  std::vector<std::string> profiles;

  bool operator==(const catalog_answer&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("revision", self.revision);
    visit("profiles", self.profiles);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_CATALOG_ANSWER_HPP
