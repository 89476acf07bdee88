#ifndef BORAGEHILL_WIRE_PACE_REQUEST_HPP
#define BORAGEHILL_WIRE_PACE_REQUEST_HPP

#include <cstdint>
#include <string>

namespace boragehill::wire {

/// `home.pace`: a home asks the one that paces the weight store whether a
/// remote load may start. Idempotent while the load waits or runs.
struct pace_request {
  std::string server;
  std::string model;
  /// Milliseconds to the earliest deadline among the requests that wait.
  std::int64_t time_left_ms = 0;
  /// Set once the load ended, well or not: its slot is free.
  bool ended = false;
  /// How long the load took; 0 for one that failed.
  std::int64_t took_ms = 0;

  bool operator==(const pace_request&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("server", self.server);
    visit("model", self.model);
    visit("time_left_ms", self.time_left_ms);
    visit("ended", self.ended);
    visit("took_ms", self.took_ms);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_PACE_REQUEST_HPP
