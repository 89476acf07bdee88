#ifndef BORAGEHILL_DECIDE_ONCE_CLAIM_STEP_HPP
#define BORAGEHILL_DECIDE_ONCE_CLAIM_STEP_HPP

#include <variant>

namespace boragehill::decide {

/// There is no record: claim the key for a new attempt and dispatch it.
struct run_it {
  bool operator==(const run_it&) const = default;
};

/// The record holds the complete response: return it to the caller.
struct hand_over_result {
  bool operator==(const hand_over_result&) const = default;
};

/// Another attempt holds the claim: tombstone it at its agent, then continue
/// with `evaluate_agent_status`.
struct ask_agent {
  bool operator==(const ask_agent&) const = default;
};

/// The key was already used with a different request: refuse this one.
struct refuse_reused {
  bool operator==(const refuse_reused&) const = default;
};

/// The next step for a non-idempotent request, decided by its record alone.
using resend_step =
    std::variant<run_it, hand_over_result, ask_agent, refuse_reused>;

/// The attempt completed: fetch its response from the agent and return it.
struct hand_over {
  bool operator==(const hand_over&) const = default;
};

/// The attempt is running: query again until it ended or the deadline passed.
struct wait_for_end {
  bool operator==(const wait_for_end&) const = default;
};

/// The attempt never ran and can't run any more: assign the claim to a new
/// attempt by a conditional write and dispatch that.
struct reclaim {
  bool operator==(const reclaim&) const = default;
};

/// The attempt may have run, so no other attempt may: report the outcome as
/// unknown.
struct outcome_is_unknown {
  bool operator==(const outcome_is_unknown&) const = default;
};

/// The next step after the agent that holds the claim was queried.
using claim_step =
    std::variant<hand_over, wait_for_end, reclaim, outcome_is_unknown>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ONCE_CLAIM_STEP_HPP
