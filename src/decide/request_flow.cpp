#include "decide/request_flow.hpp"

#include <algorithm>
#include <utility>

#include "decide/backoff.hpp"

namespace boragehill::decide {

namespace {

/// Returns true for refusals after which the same server may accept the request
/// a moment later, so it isn't excluded from further attempts.
bool is_transient_refusal(result_code code) {
  return code == result_code::server_busy ||
         code == result_code::model_not_ready ||
         code == result_code::permit_ended;
}

}  // namespace

request_flow::request_flow(flow_request request, flow_limits limits,
                           std::function<bool()> take_retry,
                           std::function<std::uint64_t()> random_bits)
    : request(std::move(request)),
      limits(limits),
      take_retry(std::move(take_retry)),
      random_bits(std::move(random_bits)),
      current_attempt{this->request.incarnation, this->request.sequence, 0} {}

flow_step request_flow::begin(time_point now) {
  return this->start_next_attempt(now);
}

flow_step request_flow::on_permit(const wire::permit_answer& response,
                                  time_point now) {
  if (now >= this->request.deadline) return this->refuse_deadline_passed(now);
  switch (response.state) {
    case wire::permit_state::queued:
      return await_permit{this->current_attempt, this->home_rank,
                          this->request.deadline};
    case wire::permit_state::not_home:
      return this->on_home_lost(now);
    case wire::permit_state::refused:
      return this->refuse(static_cast<result_code>(response.code),
                          milliseconds(response.retry_after_ms),
                          response.reason);
    case wire::permit_state::granted:
      break;
  }
  this->permit = response;
  this->homes_lost = 0;
  if (this->request.has_idempotency_key) {
    return write_claim{this->current_attempt, this->permit};
  }
  return dispatch{this->current_attempt, this->permit};
}

flow_step request_flow::on_home_lost(time_point now) {
  if (now >= this->request.deadline) return this->refuse_deadline_passed(now);
  ++this->homes_lost;
  if (this->homes_lost >= this->limits.max_homes) {
    return this->refuse(result_code::home_unreachable,
                        this->limits.default_retry_after,
                        "no home of " + this->request.target + " answers");
  }
  ++this->home_rank;
  // A new attempt number, so that a permit from the lost home can't be used
  // in addition to the next home's and run the request twice.
  ++this->current_attempt.number;
  return this->make_permit_request(now);
}

flow_step request_flow::on_claim_written(result_code code, time_point now) {
  if (now >= this->request.deadline) return this->refuse_deadline_passed(now);
  if (code == result_code::ok) {
    return dispatch{this->current_attempt, this->permit};
  }
  // Nothing was dispatched under this permit, and without a claim nothing may
  // be: another router that receives a retry with the same key would not see
  // this run. On a write conflict another router holds the claim, and the
  // request may run there.
  if (code == result_code::platform_conflict) this->may_have_run = true;
  return this->refuse(code, this->limits.default_retry_after,
                      "the run could not be written down");
}

flow_step request_flow::on_attempt(const attempt_result& result,
                                   time_point now) {
  switch (result.ending) {
    case attempt_ending::complete:
      return delivered{};
    case attempt_ending::refused:
      return this->on_attempt_refused(result.code, now);
    case attempt_ending::not_sent:
      // The home avoids the server for a limited time. It isn't excluded here:
      // one connection that was not accepted in time would exclude the only
      // server of a model for the rest of this request.
      return this->retry(true, result.code, now);
    case attempt_ending::caller_disconnected:
      this->may_have_run = true;
      return this->refuse(result_code::caller_gone, milliseconds{0},
                          "the caller hung up");
    case attempt_ending::interrupted:
      break;
  }
  return this->on_attempt_interrupted(result, now);
}

flow_step request_flow::on_attempt_refused(result_code code, time_point now) {
  if (is_transient_refusal(code)) return this->retry(false, code, now);
  this->exclude_server();
  return this->retry(true, code, now);
}

flow_step request_flow::on_attempt_interrupted(const attempt_result& result,
                                               time_point now) {
  if (result.server_crashed) ++this->server_crashes;
  if (result.partly_forwarded) {
    this->may_have_run = true;
    return this->refuse(result.code, milliseconds{0},
                        "the answer broke off on the way");
  }
  if (this->request.non_idempotent) {
    this->status_queries = 0;
    if (result.server_crashed) {
      this->may_have_run = true;
      return this->refuse(result_code::outcome_unknown, milliseconds{0},
                          "its backend server went down while running it");
    }
    // The caller must get the final response by its deadline, and a paused
    // agent responds to no query until it continues.
    if (now + this->limits.status_query_timeout > this->request.deadline) {
      this->may_have_run = true;
      return this->refuse(result_code::outcome_unknown, milliseconds{0},
                          "it was sent and its end is not known in time");
    }
    this->is_querying_status = true;
    return query_attempt_status{this->current_attempt, this->permit};
  }
  this->may_have_run = true;
  this->exclude_server();
  return this->retry(true, result.code, now);
}

flow_step request_flow::on_attempt_status(
    std::optional<wire::attempt_status> status, time_point now) {
  this->is_querying_status = false;
  if (!status) {
    ++this->status_queries;
    const auto wait =
        backoff(this->status_queries, this->limits.backoff_base * 4,
                this->limits.backoff_cap, this->random_bits());
    const bool may_query_again =
        this->status_queries < this->limits.max_status_queries &&
        now + wait + this->limits.status_query_timeout < this->request.deadline;
    if (may_query_again) {
      this->is_querying_status = true;
      return pause_until{now + wait};
    }
    this->may_have_run = true;
    return this->refuse(result_code::outcome_unknown, milliseconds{0},
                        "the agent that was sent it does not answer");
  }
  switch (*status) {
    case wire::attempt_status::never_ran:
      this->exclude_server();
      return this->retry(true, result_code::peer_unreachable, now);
    case wire::attempt_status::ended:
      return fetch_stored_response{this->current_attempt, this->permit};
    case wire::attempt_status::running: {
      const auto wait = this->limits.backoff_cap / 4;
      if (now + wait + this->limits.status_query_timeout >=
          this->request.deadline) {
        break;
      }
      this->is_querying_status = true;
      return pause_until{now + wait};
    }
    case wire::attempt_status::broken:
    case wire::attempt_status::forgotten:
      break;
  }
  this->may_have_run = true;
  return this->refuse(result_code::outcome_unknown, milliseconds{0},
                      "it was sent and its end is not known");
}

flow_step request_flow::on_stored_response(bool is_complete, time_point now) {
  (void)now;
  if (is_complete) return delivered{};
  this->may_have_run = true;
  return this->refuse(result_code::outcome_unknown, milliseconds{0},
                      "it ran and its answer could not be fetched");
}

flow_step request_flow::on_caller_disconnected() const {
  return this->refuse(result_code::caller_gone, milliseconds{0},
                      "the caller hung up");
}

flow_step request_flow::on_pause_over(time_point now) {
  if (this->is_querying_status) {
    return query_attempt_status{this->current_attempt, this->permit};
  }
  if (now >= this->request.deadline) return this->refuse_deadline_passed(now);
  return this->start_next_attempt(now);
}

flow_step request_flow::start_next_attempt(time_point now) {
  if (now >= this->request.deadline) return this->refuse_deadline_passed(now);
  ++this->current_attempt.number;
  return this->make_permit_request(now);
}

flow_step request_flow::make_permit_request(time_point now) {
  const auto time_left =
      std::chrono::duration_cast<milliseconds>(this->request.deadline - now);
  return request_permit{
      .rank = this->home_rank,
      .request = {.attempt = this->current_attempt.to_string(),
                  .entry = this->request.entry,
                  .target = this->request.target,
                  .adapter = this->request.adapter,
                  .profile = this->request.profile,
                  .time_left_ms = time_left.count(),
                  .priority = this->request.priority,
                  .fingerprint = this->request.fingerprint,
                  .non_idempotent = this->request.non_idempotent,
                  .crashes = this->server_crashes,
                  .excluded = this->excluded_servers,
                  .passed_on = this->home_rank > 0}};
}

flow_step request_flow::retry(bool is_counted, result_code code,
                              time_point now) {
  // A transient refusal isn't counted: a server that other homes also use may
  // refuse one request many times within its deadline, which only the backoff
  // and the deadline bound. When they were counted, callers got `server_busy`
  // with most of their time left.
  if (is_counted) ++this->failed_attempts;
  if (this->failed_attempts >= this->limits.max_attempts) {
    return this->refuse(code, this->limits.default_retry_after,
                        "no attempt succeeded");
  }
  if (is_counted && !this->take_retry()) {
    return this->refuse(result_code::retry_budget_spent,
                        this->limits.default_retry_after,
                        "too many requests are being retried");
  }
  const auto wait =
      backoff(this->current_attempt.number, this->limits.backoff_base,
              this->limits.backoff_cap, this->random_bits());
  if (now + wait >= this->request.deadline) {
    return this->refuse_deadline_passed(now);
  }
  return pause_until{now + wait};
}

flow_step request_flow::refuse(result_code code, milliseconds retry_after,
                               std::string reason) const {
  const auto ran = this->may_have_run ? ran_state::unknown : ran_state::no;
  return refuse_request{refusal{code, ran, retry_after, std::move(reason)}};
}

flow_step request_flow::refuse_deadline_passed(time_point now) const {
  (void)now;
  return this->refuse(result_code::deadline_passed,
                      this->limits.default_retry_after,
                      "its deadline leaves no time for an attempt");
}

void request_flow::exclude_server() {
  const auto& server = this->permit.server;
  const auto found = std::find(this->excluded_servers.begin(),
                               this->excluded_servers.end(), server);
  if (found == this->excluded_servers.end()) {
    this->excluded_servers.push_back(server);
  }
}

bool is_final(const flow_step& step) {
  return std::holds_alternative<delivered>(step) ||
         std::holds_alternative<refuse_request>(step);
}

}  // namespace boragehill::decide
