#ifndef BORAGEHILL_ROUTER_CATALOG_ROW_HPP
#define BORAGEHILL_ROUTER_CATALOG_ROW_HPP

#include <cstdint>
#include <map>
#include <string>

namespace boragehill::router {

/// The row `catalog`: the global revision, and at which revision each profile
/// last changed. Every accepted change writes it in the same transaction.
struct catalog_row {
  std::uint64_t revision = 0;
  std::map<std::string, std::uint64_t> profiles;

  bool operator==(const catalog_row&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("revision", self.revision);
    visit("profiles", self.profiles);
  }
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_CATALOG_ROW_HPP
