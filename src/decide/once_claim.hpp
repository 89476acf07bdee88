#ifndef BORAGEHILL_DECIDE_ONCE_CLAIM_HPP
#define BORAGEHILL_DECIDE_ONCE_CLAIM_HPP

#include <optional>
#include <string>
#include <string_view>

#include "decide/once_claim_row.hpp"
#include "decide/once_claim_step.hpp"
#include "wire/attempt_status.hpp"

namespace boragehill::decide {

/// Returns what to do with a non-idempotent request.
///
/// \param row The row of its key; nothing if there is none.
/// \param digest The digest of the request just received.
resend_step judge_resend(const std::optional<once_row>& row,
                         std::string_view digest);

/// Returns what to do once the claim's agent was asked.
///
/// \param status The answer to `agent.tombstone` for the claim's attempt;
///   nothing if the agent is gone or did not answer.
claim_step judge_agent_answer(std::optional<wire::attempt_status> status);

/// Returns true if the row read back shows that a claim whose write was not
/// answered took effect.
bool is_claimed_by(const std::optional<once_row>& row,
                   std::string_view attempt);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ONCE_CLAIM_HPP
