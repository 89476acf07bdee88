#ifndef BORAGEHILL_DECIDE_ATTEMPT_RESULT_HPP
#define BORAGEHILL_DECIDE_ATTEMPT_RESULT_HPP

#include <boragehill/result_code.hpp>

namespace boragehill::decide {

/// How a dispatched attempt ended, as observed by the router that sent it.
enum class attempt_ending {
  /// The end frame's length and checksum match the received response.
  complete,
  /// The agent stated that it has not run the attempt and won't.
  refused,
  /// The connection wasn't established: the agent has not seen the attempt.
  not_sent,
  /// The attempt was sent, and the response is incomplete.
  interrupted,
  caller_disconnected,
};

/// The result of one dispatched attempt.
struct attempt_result {
  attempt_ending ending = attempt_ending::interrupted;
  result_code code = result_code::ok;
  /// Part of the response was already sent to the caller.
  bool partly_forwarded = false;
  /// The agent reported that its backend server went down.
  bool server_crashed = false;

  bool operator==(const attempt_result&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ATTEMPT_RESULT_HPP
