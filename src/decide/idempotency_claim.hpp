#ifndef BORAGEHILL_DECIDE_IDEMPOTENCY_CLAIM_HPP
#define BORAGEHILL_DECIDE_IDEMPOTENCY_CLAIM_HPP

#include <optional>
#include <string>
#include <string_view>

#include "decide/idempotency_record.hpp"
#include "decide/idempotency_step.hpp"
#include "wire/attempt_status.hpp"

namespace boragehill::decide {

/// Returns the next step for a non-idempotent request with a key.
///
/// \param record The idempotency record of its key; nothing if there is none.
/// \param digest The digest of the received request.
record_step evaluate_record(const std::optional<idempotency_record>& record,
                            std::string_view digest);

/// Returns the next step after the agent that holds the claim was queried.
///
/// \param status The response to `agent.tombstone` for the claim's attempt;
///   nothing if the agent is lost or did not respond.
claim_step evaluate_agent_status(std::optional<wire::attempt_status> status);

/// Returns true if the record was claimed by the given attempt. This shows
/// whether a write took effect whose response was lost.
bool is_claimed_by(const std::optional<idempotency_record>& record,
                   std::string_view attempt);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_IDEMPOTENCY_CLAIM_HPP
