#ifndef BORAGEHILL_WIRE_PERMIT_ANSWER_HPP
#define BORAGEHILL_WIRE_PERMIT_ANSWER_HPP

#include <cstdint>
#include <string>

#include <boragehill/endpoint.hpp>

#include "wire/permit_state.hpp"

namespace boragehill::wire {

/// The answer to `home.permit`, and `entry.permit` when a queued request's turn
/// comes.
struct permit_answer {
  std::string attempt;
  permit_state state = permit_state::queued;
  /// The chosen backend server's id.
  std::string server;
  /// Where to send the attempt.
  endpoint data;
  /// Where to ask about the attempt.
  endpoint control;
  /// The agent's incarnation; another one refuses the attempt.
  std::uint64_t fence = 0;
  /// End of the permit on the agent's monotonic clock.
  std::int64_t permit_end_ms = 0;
  /// The agent runs it only with nothing else in flight: it was there when a
  /// backend server crashed.
  bool exclusive = false;
  /// A `result_code`; set when refused.
  std::int32_t code = 0;
  /// When to come back; set when refused.
  std::int64_t retry_after_ms = 0;
  /// Why, in words, for the caller and for `explain`.
  std::string reason;
  /// Expected wait from now; set when queued.
  std::int64_t estimate_ms = 0;
  /// The home to ask instead; set when not home.
  endpoint home;

  bool operator==(const permit_answer&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
    visit("state", self.state);
    visit("server", self.server);
    visit("data", self.data);
    visit("control", self.control);
    visit("fence", self.fence);
    visit("permit_end_ms", self.permit_end_ms);
    visit("exclusive", self.exclusive);
    visit("code", self.code);
    visit("retry_after_ms", self.retry_after_ms);
    visit("reason", self.reason);
    visit("estimate_ms", self.estimate_ms);
    visit("home", self.home);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_PERMIT_ANSWER_HPP
