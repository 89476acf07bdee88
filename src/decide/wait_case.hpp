#ifndef BORAGEHILL_DECIDE_WAIT_CASE_HPP
#define BORAGEHILL_DECIDE_WAIT_CASE_HPP

#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A request that waits for a server, as the judge of its waiting sees it.
struct wait_case {
  milliseconds waited{0};
  /// Until its final answer is due.
  milliseconds left{0};
  /// Its answer is a stream of events.
  bool stream = false;
  /// Its route's objectives: to the first event, and between two.
  milliseconds objective{0};
  milliseconds gap_objective{0};
  /// When the planner expects a worker to have its model, if it said.
  std::optional<milliseconds> ready_in;
  /// A server is listed that may take it, now or once it has room or the model.
  bool has_server = true;

  bool operator==(const wait_case&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WAIT_CASE_HPP
