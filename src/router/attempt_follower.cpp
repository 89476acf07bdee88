#include "router/attempt_follower.hpp"

#include <algorithm>

#include "kernel/task_pool.hpp"
#include "router/accepted_request.hpp"
#include "router/attempt_call.hpp"
#include "router/caller_watch.hpp"
#include "router/driver_parts.hpp"
#include "wire/attempt_query.hpp"
#include "wire/field_codec.hpp"
#include "wire/rpc_client.hpp"

namespace boragehill::router {

namespace {

/// How often the deadline, the caller and the agent are looked at.
constexpr milliseconds look_interval{500};
/// An agent that sends nothing for so long is asked whether it lives.
constexpr milliseconds silence{2000};
constexpr int unanswered_limit = 2;

wire::attempt_query query_of(const decide::dispatch& step) {
  return {.attempt = step.attempt.to_string(),
          .fence = step.permit.fence,
          .permit_end_ms = step.permit.permit_end_ms};
}

}  // namespace

attempt_follower::attempt_follower(driver_parts& owner,
                                   const accepted_request& asked,
                                   caller_watch& watched,
                                   const decide::dispatch& followed)
    : parts(owner),
      request(asked),
      caller(watched),
      step(followed),
      heard_at(time_point::clock::now()) {}

std::variant<wire::answer_frame, decide::attempt_result> attempt_follower::next(
    attempt_call& call) {
  while (true) {
    const time_point now = time_point::clock::now();
    if (now >= this->request.deadline) {
      return this->abandon(decide::attempt_ending::interrupted,
                           result_code::deadline_passed);
    }
    const auto frame =
        call.next(std::min(this->request.deadline, now + look_interval));
    if (frame) {
      this->heard_at = now;
      this->unanswered = 0;
      return *frame;
    }
    if (call.ended()) return this->end_of(call);
    // A non-idempotent run goes on: its answer is kept for the resend.
    if (!this->request.non_idempotent && this->caller.gone()) {
      return this->abandon(decide::attempt_ending::caller_disconnected,
                           result_code::caller_gone);
    }
    if (this->seems_frozen(now)) {
      return decide::attempt_result{
          .ending = decide::attempt_ending::interrupted,
          .code = result_code::outcome_unknown};
    }
  }
}

decide::attempt_result attempt_follower::end_of(const attempt_call& call) {
  auto result = call.result();
  const bool cut = result.ending == decide::attempt_ending::interrupted &&
                   result.code == result_code::outcome_unknown;
  // The whole VM went down with the request in flight.
  const bool in_time = time_point::clock::now() + this->parts.call_timeout <=
                       this->request.deadline;
  if (cut && in_time && !this->agent_answers()) result.server_crashed = true;
  return result;
}

decide::attempt_result attempt_follower::abandon(decide::attempt_ending ending,
                                                 result_code code) {
  if (!this->request.non_idempotent) {
    // Off this thread: the caller's final answer does not wait for it.
    this->parts.calls.try_post([&owner = this->parts,
                                control = this->step.permit.control,
                                query = query_of(this->step)] {
      (void)owner.rpc.call(control, "agent.cancel", wire::to_json(query),
                           owner.call_timeout);
    });
  }
  return {.ending = ending, .code = code};
}

bool attempt_follower::seems_frozen(time_point now) {
  if (now - this->heard_at < silence) return false;
  // The question could hold the final answer back past the deadline.
  if (now + this->parts.call_timeout > this->request.deadline) return false;
  this->heard_at = now;
  if (this->agent_answers()) {
    this->unanswered = 0;
    return false;
  }
  // A frozen agent keeps its connections open and says nothing.
  return ++this->unanswered >= unanswered_limit;
}

bool attempt_follower::agent_answers() {
  return this->parts.rpc
      .call(this->step.permit.control, "agent.attempt",
            wire::to_json(query_of(this->step)), this->parts.call_timeout)
      .has_value();
}

}  // namespace boragehill::router
