#ifndef BORAGEHILL_WIRE_ATTEMPT_OUTCOME_HPP
#define BORAGEHILL_WIRE_ATTEMPT_OUTCOME_HPP

namespace boragehill::wire {

/// How an attempt ended, as its entry router saw it.
enum class attempt_outcome {
  /// The whole answer arrived.
  answered = 0,
  /// The agent refused it; it did not run.
  refused = 1,
  /// It was running when the backend server went down.
  crashed = 2,
  /// The agent could not be asked how it ended.
  lost = 3,
  /// The caller hung up or its deadline passed.
  cancelled = 4,
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ATTEMPT_OUTCOME_HPP
