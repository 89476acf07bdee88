#ifndef BORAGEHILL_DECIDE_REQUEST_FLOW_HPP
#define BORAGEHILL_DECIDE_REQUEST_FLOW_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/attempt_result.hpp"
#include "decide/flow_limits.hpp"
#include "decide/flow_request.hpp"
#include "decide/flow_step.hpp"
#include "wire/attempt_status.hpp"
#include "wire/permit_answer.hpp"

namespace boragehill::decide {

/// State machine of one request at its entry router; it does no I/O.
///
/// Each call takes an event and returns the single next step, until a final
/// one. This class alone decides what is retried and whether a refusal may
/// state that the request was not run: only if each attempt was not sent, was
/// refused by its agent or is tombstoned there.
///
///     flow_step step = flow.begin(now);
///     while (!is_final(step)) step = std::visit(carry_out, step);
class request_flow {
 public:
  /// \param request The accepted request.
  /// \param limits Bounds of retries and pauses.
  /// \param take_retry Takes one retry from the router's budget; false if it
  ///   is exhausted.
  /// \param random_bits Random bits for jitter.
  request_flow(flow_request request, flow_limits limits,
               std::function<bool()> take_retry,
               std::function<std::uint64_t()> random_bits);

  /// Starts the first attempt; called once.
  flow_step begin(time_point now);

  /// Handles a home's response: immediate, or for a queued request that is now
  /// granted or refused.
  flow_step on_permit(const wire::permit_answer& response, time_point now);

  /// Handles the loss of the current home: it is unreachable or no longer
  /// knows the request.
  flow_step on_home_lost(time_point now);

  /// Handles the result of writing an idempotency claim.
  ///
  /// \param code ok, or why the claim was not written.
  flow_step on_claim_written(result_code code, time_point now);

  /// Handles the result of a dispatched attempt.
  flow_step on_attempt(const attempt_result& result, time_point now);

  /// Handles the response to a status query.
  ///
  /// \param status The status that the agent reported for the attempt; nothing
  ///   if the agent did not respond.
  flow_step on_attempt_status(std::optional<wire::attempt_status> status,
                              time_point now);

  /// Handles the result of fetching a stored response.
  ///
  /// \param is_complete True if the complete response was fetched.
  flow_step on_stored_response(bool is_complete, time_point now);

  /// Handles a disconnect of the caller before an attempt was sent.
  flow_step on_caller_disconnected() const;

  /// Continues after a `pause_until` step.
  flow_step on_pause_over(time_point now);

  /// Returns the current or the last attempt.
  const attempt_id& attempt() const { return this->current_attempt; }

  std::uint32_t attempt_count() const { return this->current_attempt.number; }

 private:
  flow_step make_permit_request(time_point now);
  flow_step start_next_attempt(time_point now);
  flow_step retry(bool is_counted, result_code code, time_point now);
  flow_step refuse(result_code code, milliseconds retry_after,
                   std::string reason) const;
  flow_step refuse_deadline_passed(time_point now) const;
  flow_step on_attempt_refused(result_code code, time_point now);
  flow_step on_attempt_interrupted(const attempt_result& result,
                                   time_point now);
  void exclude_server();

  flow_request request;
  flow_limits limits;
  std::function<bool()> take_retry;
  std::function<std::uint64_t()> random_bits;
  attempt_id current_attempt;
  wire::permit_answer permit;
  std::size_t home_rank = 0;
  std::size_t homes_lost = 0;
  /// Failed attempts without transient refusals.
  std::uint32_t failed_attempts = 0;
  std::uint32_t server_crashes = 0;
  std::uint32_t status_queries = 0;
  std::vector<std::string> excluded_servers;
  /// True once an attempt may have run whose response wasn't received.
  bool may_have_run = false;
  bool is_querying_status = false;
};

/// Returns true if no step follows this one.
bool is_final(const flow_step& step);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_REQUEST_FLOW_HPP
