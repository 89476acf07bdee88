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
struct request_permit {
  std::size_t rank = 0;
  wire::permit_request request;

  bool operator==(const request_permit&) const = default;
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
struct query_attempt_status {
  attempt_id attempt;
  wire::permit_answer permit;

  bool operator==(const query_attempt_status&) const = default;
};

/// Fetch the response that the agent stored for a completed attempt.
struct fetch_stored_response {
  attempt_id attempt;
  wire::permit_answer permit;

  bool operator==(const fetch_stored_response&) const = default;
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
struct refuse_request {
  refusal response;

  bool operator==(const refuse_request&) const = default;
};

/// The next step of a request. There is exactly one at a time.
using flow_step =
    std::variant<request_permit, await_permit, write_claim, dispatch,
                 query_attempt_status, fetch_stored_response, pause_until,
                 delivered, refuse_request>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_FLOW_STEP_HPP
