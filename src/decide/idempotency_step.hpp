#ifndef BORAGEHILL_DECIDE_IDEMPOTENCY_STEP_HPP
#define BORAGEHILL_DECIDE_IDEMPOTENCY_STEP_HPP

#include <variant>

namespace boragehill::decide {

/// There is no record: claim the key for a new attempt and dispatch it.
struct claim_and_dispatch {
  bool operator==(const claim_and_dispatch&) const = default;
};

/// The record holds the complete response: return it to the caller.
struct return_stored_response {
  bool operator==(const return_stored_response&) const = default;
};

/// Another attempt holds the claim: tombstone it at its agent, then continue
/// with `evaluate_agent_status`.
struct tombstone_attempt {
  bool operator==(const tombstone_attempt&) const = default;
};

/// The key was already used with a different request: refuse this one.
struct refuse_key_reuse {
  bool operator==(const refuse_key_reuse&) const = default;
};

/// The next step for a non-idempotent request, decided by its record alone.
using record_step = std::variant<claim_and_dispatch, return_stored_response,
                                 tombstone_attempt, refuse_key_reuse>;

/// The attempt completed: fetch its response from the agent and return it.
struct fetch_agent_response {
  bool operator==(const fetch_agent_response&) const = default;
};

/// The attempt is running: query again until it ended or the deadline passed.
struct wait_for_completion {
  bool operator==(const wait_for_completion&) const = default;
};

/// The attempt never ran and can't run any more: assign the claim to a new
/// attempt by a conditional write and dispatch that.
struct reassign_claim {
  bool operator==(const reassign_claim&) const = default;
};

/// The attempt may have run, so no other attempt may: report the outcome as
/// unknown.
struct report_unknown_outcome {
  bool operator==(const report_unknown_outcome&) const = default;
};

/// The next step after the agent that holds the claim was queried.
using claim_step = std::variant<fetch_agent_response, wait_for_completion,
                                reassign_claim, report_unknown_outcome>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_IDEMPOTENCY_STEP_HPP
