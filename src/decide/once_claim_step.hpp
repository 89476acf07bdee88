#ifndef BORAGEHILL_DECIDE_ONCE_CLAIM_STEP_HPP
#define BORAGEHILL_DECIDE_ONCE_CLAIM_STEP_HPP

#include <variant>

namespace boragehill::decide {

/// No row stands: claim it with a new attempt and dispatch that.
struct run_it {
  bool operator==(const run_it&) const = default;
};

/// The row holds the whole answer: hand it over.
struct hand_over_result {
  bool operator==(const hand_over_result&) const = default;
};

/// An attempt holds the claim: tombstone it at its agent, then see
/// `judge_agent_answer`.
struct ask_agent {
  bool operator==(const ask_agent&) const = default;
};

/// The key came with another request before.
struct refuse_reused {
  bool operator==(const refuse_reused&) const = default;
};

/// What a router does with a non-idempotent request, from its row alone.
using resend_step =
    std::variant<run_it, hand_over_result, ask_agent, refuse_reused>;

/// The attempt ended: fetch its answer from the agent and hand it over.
struct hand_over {
  bool operator==(const hand_over&) const = default;
};

/// The attempt runs: ask again until it ended or the deadline passed.
struct wait_for_end {
  bool operator==(const wait_for_end&) const = default;
};

/// The attempt never ran and now never will: move the claim, by conditional
/// write, to a new attempt and dispatch that.
struct reclaim {
  bool operator==(const reclaim&) const = default;
};

/// The attempt may have run: no other may.
struct outcome_is_unknown {
  bool operator==(const outcome_is_unknown&) const = default;
};

/// What a router does once it asked the agent that holds the claim.
using claim_step =
    std::variant<hand_over, wait_for_end, reclaim, outcome_is_unknown>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ONCE_CLAIM_STEP_HPP
