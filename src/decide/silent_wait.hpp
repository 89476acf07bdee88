#ifndef BORAGEHILL_DECIDE_SILENT_WAIT_HPP
#define BORAGEHILL_DECIDE_SILENT_WAIT_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A request at a backend server that is silent and left a status check
/// unanswered.
struct silent_wait {
  /// Since the server was heard last.
  milliseconds silent{0};
  /// Until the caller gives up or the final answer is due.
  milliseconds remaining{0};
  /// Part of the answer has come.
  bool begun = false;
  /// It may run twice, and another server takes it now.
  bool movable = false;

  bool operator==(const silent_wait&) const = default;
};

/// What becomes of such a request.
enum class silent_wait_step {
  /// It waits on: the server may go on.
  wait,
  /// It goes to the other server.
  move,
  /// Its caller is told that the outcome is unknown.
  give_up,
};

/// Decides how long a request waits for a silent server.
///
/// A silence is expected to last as long again as it has lasted. Once that is
/// more than the caller will wait, the caller is told, while it still has time
/// to act on the answer. An answer that has begun is never ended for silence.
silent_wait_step judge_silent_wait(const silent_wait& request);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SILENT_WAIT_HPP
