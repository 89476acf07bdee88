#include "decide/idempotency_claim.hpp"

namespace boragehill::decide {

record_step evaluate_record(const std::optional<idempotency_record>& record,
                            std::string_view digest) {
  if (!record) return claim_and_dispatch{};
  if (record->digest != digest) return refuse_key_reuse{};
  if (record->state == idempotency_state::completed) {
    return return_stored_response{};
  }
  return tombstone_attempt{};
}

claim_step evaluate_agent_status(std::optional<wire::attempt_status> status) {
  // An agent that does not respond may have run the attempt, whatever the cause
  // of its loss. A second attempt could run the request twice.
  if (!status) return report_unknown_outcome{};
  switch (*status) {
    case wire::attempt_status::never_ran:
      return reassign_claim{};
    case wire::attempt_status::running:
      return wait_for_completion{};
    case wire::attempt_status::ended:
      return fetch_agent_response{};
    case wire::attempt_status::broken:
    case wire::attempt_status::forgotten:
      break;
  }
  return report_unknown_outcome{};
}

bool is_claimed_by(const std::optional<idempotency_record>& record,
                   std::string_view attempt) {
  return record && record->attempt == attempt;
}

}  // namespace boragehill::decide
