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

/// The life of one request at its entry router, as a pure state machine.
///
/// Each call takes what happened and returns the one thing to do next, until a
/// final step. It alone decides what is retried, and whether a refusal may say
/// that the request was not run: only if every attempt was never sent, was
/// refused by its agent, or is tombstoned there.
///
///     flow_step step = flow.begin(now);
///     while (!is_final(step)) step = std::visit(carry_out, step);
class request_flow {
 public:
  /// \param request What is asked.
  /// \param limits The limits.
  /// \param take_retry Takes one retry from the router's budget; false if it
  ///   is spent.
  /// \param random_bits Random bits for jitter.
  request_flow(flow_request request, flow_limits limits,
               std::function<bool()> take_retry,
               std::function<std::uint64_t()> random_bits);

  /// Begins; called once.
  flow_step begin(time_point now);

  /// Takes a home's answer, at once or when a queued request's turn came.
  flow_step on_permit(const wire::permit_answer& answer, time_point now);

  /// Takes note that the home asked, or waited at, is gone or forgot it.
  flow_step on_home_lost(time_point now);

  /// Takes the result of writing a claim: ok, or why it does not stand.
  flow_step on_claim(result_code code, time_point now);

  /// Takes the result of a dispatch.
  flow_step on_attempt(const attempt_result& result, time_point now);

  /// Takes the agent's word on an attempt; nothing if it did not answer.
  flow_step on_fate(std::optional<wire::attempt_status> fate, time_point now);

  /// Takes the result of fetching a kept answer.
  flow_step on_kept(bool whole, time_point now);

  /// Takes note that the caller hung up before an attempt was sent.
  flow_step on_caller_gone() const;

  /// Goes on after a pause.
  flow_step on_pause_over(time_point now);

  /// Returns the attempt under way or last made.
  const attempt_id& attempt() const { return this->current; }

  /// Returns how many attempts were made.
  std::uint32_t attempts() const { return this->current.number; }

 private:
  flow_step ask(time_point now);
  flow_step next_attempt(time_point now);
  flow_step retry(bool charged, result_code code, time_point now);
  flow_step refuse(result_code code, milliseconds retry_after,
                   std::string reason) const;
  flow_step out_of_time(time_point now) const;
  flow_step on_refused(result_code code, time_point now);
  flow_step on_broken(const attempt_result& result, time_point now);
  void exclude_server();

  flow_request request;
  flow_limits limits;
  std::function<bool()> take_retry;
  std::function<std::uint64_t()> random_bits;
  attempt_id current;
  wire::permit_answer permit;
  std::size_t rank = 0;
  std::size_t homes_lost = 0;
  /// Attempts that failed in a way that may not pass soon.
  std::uint32_t failures = 0;
  std::uint32_t crashes = 0;
  std::uint32_t fate_asks = 0;
  std::vector<std::string> excluded;
  /// Set once some attempt may have run without its answer arriving.
  bool may_have_run = false;
  bool asking_fate = false;
};

/// Returns whether a step ends the flow.
bool is_final(const flow_step& step);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_REQUEST_FLOW_HPP
