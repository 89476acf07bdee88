#ifndef BORAGEHILL_WIRE_ATTEMPT_STATUS_HPP
#define BORAGEHILL_WIRE_ATTEMPT_STATUS_HPP

namespace boragehill::wire {

/// What an agent knows of an attempt.
enum class attempt_status {
  /// Never seen; it is tombstoned and will now never run.
  never_ran = 0,
  running = 1,
  /// Its whole answer left the backend server.
  ended = 2,
  /// It began and its answer is not whole.
  broken = 3,
  /// Older than the agent's memory or another incarnation's: it may have run.
  forgotten = 4,
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ATTEMPT_STATUS_HPP
