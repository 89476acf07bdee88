#ifndef BORAGEHILL_ROUTER_PROFILE_ROW_HPP
#define BORAGEHILL_ROUTER_PROFILE_ROW_HPP

#include <cstdint>
#include <string>

#include <boragehill/profile.hpp>

namespace boragehill::router {

/// The rows `profile/<name>` and `history/<name>/<revision>`.
struct profile_row {
  profile published;
  /// Chosen by the publisher, so that a write whose answer was lost is told
  /// from another operator's; never empty in the table.
  std::string publish_id;
  /// The profile as the operator wrote it.
  std::string source;
  /// Wall-clock milliseconds since the epoch, for people only.
  std::int64_t published_at_ms = 0;

  bool operator==(const profile_row&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("published", self.published);
    visit("publish_id", self.publish_id);
    visit("source", self.source);
    visit("published_at_ms", self.published_at_ms);
  }
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_PROFILE_ROW_HPP
