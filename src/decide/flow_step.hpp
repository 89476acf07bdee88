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

/// Request a permit from the home of this rank; 0 is the first.
struct ask_home {
  std::size_t rank = 0;
  wire::permit_request ask;

  bool operator==(const ask_home&) const = default;
};

/// Wait for the home to grant or refuse a queued attempt.
struct await_permit {
  attempt_id attempt;
  std::size_t rank = 0;
  time_point until;

  bool operator==(const await_permit&) const = default;
};

/// Write the idempotency claim to the table: the attempt and the agent that
/// run the request of this key.
struct write_claim {
  attempt_id attempt;
  wire::permit_answer permit;

  bool operator==(const write_claim&) const = default;
};

/// Send the attempt to the agent, exactly once.
struct dispatch {
  attempt_id attempt;
  wire::permit_answer permit;

  bool operator==(const dispatch&) const = default;
};

/// Query the agent for the status of an attempt. An attempt that it has not
/// seen is tombstoned, so that it can't run later.
struct ask_fate {
  attempt_id attempt;
  wire::permit_answer permit;

  bool operator==(const ask_fate&) const = default;
};

/// Fetch the response that the agent stored for a completed attempt.
struct fetch_kept {
  attempt_id attempt;
  wire::permit_answer permit;

  bool operator==(const fetch_kept&) const = default;
};

/// Wait until the given time, then call `request_flow::on_pause_over`.
struct pause_until {
  time_point until;

  bool operator==(const pause_until&) const = default;
};

/// Final: the complete response was sent to the caller, or may be sent now.
struct delivered {
  bool operator==(const delivered&) const = default;
};

/// Final: the refusal is sent to the caller immediately.
struct give_up {
  refusal answer;

  bool operator==(const give_up&) const = default;
};

/// The next step of a request. There is exactly one at a time.
using flow_step =
    std::variant<ask_home, await_permit, write_claim, dispatch, ask_fate,
                 fetch_kept, pause_until, delivered, give_up>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_FLOW_STEP_HPP
