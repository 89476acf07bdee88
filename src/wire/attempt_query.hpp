#ifndef BORAGEHILL_WIRE_ATTEMPT_QUERY_HPP
#define BORAGEHILL_WIRE_ATTEMPT_QUERY_HPP

#include <cstdint>
#include <string>

namespace boragehill::wire {

/// `agent.tombstone`, `agent.attempt` and `agent.cancel`: a question about one
/// attempt. Only `agent.tombstone` keeps an attempt not yet seen from running.
struct attempt_query {
  std::string attempt;
  /// The fencing number in the attempt's permit.
  std::uint64_t fence = 0;
  /// The permit's end on the agent's clock.
  std::int64_t permit_end_ms = 0;

  bool operator==(const attempt_query&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
    visit("fence", self.fence);
    visit("permit_end_ms", self.permit_end_ms);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ATTEMPT_QUERY_HPP
