#ifndef BORAGEHILL_DECIDE_STALLED_REQUEST_HPP
#define BORAGEHILL_DECIDE_STALLED_REQUEST_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A request at a backend server whose responses have stalled and which did not
/// respond to a probe.
struct stalled_request {
  /// Time since the last data from the server.
  milliseconds stalled_for{0};
  /// Time until the caller gives up or the final response is due.
  milliseconds remaining{0};
  /// Part of the response has arrived.
  bool response_started = false;
  /// The request may run twice, and another server can take it now.
  bool movable = false;

  bool operator==(const stalled_request&) const = default;
};

/// What to do with a stalled request.
enum class stalled_request_action {
  /// Keep waiting: the server may resume.
  wait,
  /// Send it to the other server.
  move,
  /// Respond to the caller that the outcome is unknown.
  give_up,
};

/// Decides whether a request keeps waiting for an unresponsive server.
///
/// A stall is expected to last as long again as it has lasted so far. Once that
/// exceeds the caller's remaining time, the request is given up, while the
/// caller still has time to act on the response. A response that has started is
/// never given up because of a stall.
stalled_request_action decide_stalled_request(const stalled_request& request);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STALLED_REQUEST_HPP
