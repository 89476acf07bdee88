#include "decide/once_claim.hpp"

namespace boragehill::decide {

resend_step judge_resend(const std::optional<once_row>& row,
                         std::string_view digest) {
  if (!row) return run_it{};
  if (row->digest != digest) return refuse_reused{};
  if (row->state == once_state::ended) return hand_over_result{};
  return ask_agent{};
}

claim_step judge_agent_answer(std::optional<wire::attempt_status> status) {
  // An agent that does not respond may have run the attempt, whatever the cause
  // of its loss. A second attempt could run the request twice.
  if (!status) return outcome_is_unknown{};
  switch (*status) {
    case wire::attempt_status::never_ran:
      return reclaim{};
    case wire::attempt_status::running:
      return wait_for_end{};
    case wire::attempt_status::ended:
      return hand_over{};
    case wire::attempt_status::broken:
    case wire::attempt_status::forgotten:
      break;
  }
  return outcome_is_unknown{};
}

bool is_claimed_by(const std::optional<once_row>& row,
                   std::string_view attempt) {
  return row && row->attempt == attempt;
}

}  // namespace boragehill::decide
