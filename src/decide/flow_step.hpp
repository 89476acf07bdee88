#ifndef BORAGEHILL_DECIDE_FLOW_STEP_HPP
#define BORAGEHILL_DECIDE_FLOW_STEP_HPP

#include <cstddef>
#include <variant>

#include <boragehill/attempt_id.hpp>
#include <boragehill/refusal.hpp>
#include <boragehill/time_point.hpp>

#include "wire/permit_answer.hpp"
#include "wire/permit_request.hpp"

namespace boragehill::decide {

/// Ask the home of this rank (0 is the first) for a permit.
struct ask_home {
  std::size_t rank = 0;
  wire::permit_request ask;

  bool operator==(const ask_home&) const = default;
};

/// Wait for the home's word on a queued attempt.
struct await_permit {
  attempt_id attempt;
  std::size_t rank = 0;
  time_point until;

  bool operator==(const await_permit&) const = default;
};

/// Write down, in the table, which attempt and agent the key's run goes to.
struct write_claim {
  attempt_id attempt;
  wire::permit_answer permit;

  bool operator==(const write_claim&) const = default;
};

/// Send the attempt to the agent, once.
struct dispatch {
  attempt_id attempt;
  wire::permit_answer permit;

  bool operator==(const dispatch&) const = default;
};

/// Ask the agent what became of an attempt, and keep it from running if it was
/// not seen.
struct ask_fate {
  attempt_id attempt;
  wire::permit_answer permit;

  bool operator==(const ask_fate&) const = default;
};

/// Fetch the answer that the agent kept of an ended attempt.
struct fetch_kept {
  attempt_id attempt;
  wire::permit_answer permit;

  bool operator==(const fetch_kept&) const = default;
};

/// Wait, then call `on_pause_over`.
struct pause_until {
  time_point until;

  bool operator==(const pause_until&) const = default;
};

/// Final: the whole answer went, or may now go, to the caller.
struct delivered {
  bool operator==(const delivered&) const = default;
};

/// Final: the caller gets this refusal at once.
struct give_up {
  refusal answer;

  bool operator==(const give_up&) const = default;
};

/// What the flow of a request wants done next; just one thing at a time.
using flow_step =
    std::variant<ask_home, await_permit, write_claim, dispatch, ask_fate,
                 fetch_kept, pause_until, delivered, give_up>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_FLOW_STEP_HPP
