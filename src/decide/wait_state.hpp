#ifndef BORAGEHILL_DECIDE_WAIT_STATE_HPP
#define BORAGEHILL_DECIDE_WAIT_STATE_HPP

#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// State of a request that waits for a server, as input of the wait limit.
struct wait_state {
  milliseconds waited{0};
  /// Time until its final response is due.
  milliseconds remaining{0};
  /// Its response is a stream of events.
  bool is_stream = false;
  /// Latency objectives of its route: up to the first event, and between two
  /// events.
  milliseconds first_event_objective{0};
  milliseconds gap_objective{0};
  /// Time until a worker has its model, if the planner has reported one.
  std::optional<milliseconds> ready_in;
  /// A listed server can take it, now or once it has capacity or the model.
  bool has_server = true;

  bool operator==(const wait_state&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WAIT_STATE_HPP
