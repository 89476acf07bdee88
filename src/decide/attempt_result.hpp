#ifndef BORAGEHILL_DECIDE_ATTEMPT_RESULT_HPP
#define BORAGEHILL_DECIDE_ATTEMPT_RESULT_HPP

#include <boragehill/result_code.hpp>

namespace boragehill::decide {

/// How a dispatch ended, as far as its sender can tell.
enum class attempt_ending {
  /// The end frame's length and checksum match what arrived.
  whole,
  /// The agent said that it did not and will not run it.
  refused,
  /// The connection was never made: the agent has not seen it.
  never_sent,
  /// It was sent, and the answer is not whole.
  broken,
  /// The caller hung up.
  caller_gone,
};

/// The result of one dispatch.
struct attempt_result {
  attempt_ending ending = attempt_ending::broken;
  result_code code = result_code::ok;
  /// Part of the answer already went to the caller.
  bool passed_on = false;
  /// The agent itself reported that its backend server went down.
  bool crashed = false;

  bool operator==(const attempt_result&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ATTEMPT_RESULT_HPP
