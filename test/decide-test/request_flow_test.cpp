#include "decide/request_flow.hpp"

#include <gtest/gtest.h>
#include <random>
#include <set>

namespace boragehill::decide {
namespace {

using wire::attempt_status;
using wire::permit_answer;
using wire::permit_state;

const time_point start = time_point{} + std::chrono::hours(1);
constexpr milliseconds time_limit{10000};

flow_request make_request(bool non_idempotent, bool has_key = false) {
  return {.incarnation = "e",
          .sequence = 1,
          .target = "model:m",
          .non_idempotent = non_idempotent,
          .has_idempotency_key = has_key,
          .deadline = start + time_limit};
}

request_flow make_flow(flow_request request, bool has_retry_budget = true,
                       flow_limits limits = {}) {
  return request_flow(
      std::move(request), limits,
      [has_retry_budget] { return has_retry_budget; },
      [] { return std::uint64_t{7}; });
}

permit_answer grant_on(const std::string& server) {
  permit_answer response{.state = permit_state::granted, .server = server};
  return response;
}

template <class Step>
const Step& as(const flow_step& step) {
  return std::get<Step>(step);
}

flow_step run_first_attempt(request_flow& flow, attempt_result result,
                            time_point now = start) {
  flow.begin(now);
  flow.on_permit(grant_on("s1"), now);
  return flow.on_attempt(result, now);
}

TEST(request_flow_test, requests_a_permit_then_dispatches_and_delivers) {
  auto flow = make_flow(make_request(false));
  const auto first = flow.begin(start);
  EXPECT_EQ(as<request_permit>(first).request.attempt, "e.1.1");
  EXPECT_EQ(as<request_permit>(first).request.time_left_ms, time_limit.count());
  EXPECT_EQ(as<dispatch>(flow.on_permit(grant_on("s1"), start)).permit.server,
            "s1");
  EXPECT_TRUE(
      is_final(flow.on_attempt({.ending = attempt_ending::complete}, start)));
}

TEST(request_flow_test, refuses_a_keyed_request_if_its_claim_is_not_written) {
  auto flow = make_flow(make_request(true, true));
  flow.begin(start);
  EXPECT_TRUE(std::holds_alternative<write_claim>(
      flow.on_permit(grant_on("s1"), start)));
  const auto step = flow.on_claim_written(result_code::platform_down, start);
  EXPECT_EQ(as<refuse_request>(step).response.ran, ran_state::no);
  EXPECT_EQ(as<refuse_request>(step).response.code, result_code::platform_down);
}

TEST(request_flow_test, uses_a_new_attempt_number_after_a_home_is_lost) {
  // Otherwise one request could run on two servers: a home considered lost
  // and the next home would both grant the same attempt.
  auto flow = make_flow(make_request(false));
  flow.begin(start);
  const auto next = flow.on_home_lost(start);
  EXPECT_EQ(as<request_permit>(next).request.attempt, "e.1.2");
  EXPECT_EQ(as<request_permit>(next).rank, 1u);
  EXPECT_TRUE(as<request_permit>(next).request.passed_on);
  flow.on_home_lost(start);
  const auto last = as<refuse_request>(flow.on_home_lost(start)).response;
  EXPECT_EQ(last.code, result_code::home_unreachable);
  EXPECT_EQ(last.ran, ran_state::no);
}

TEST(request_flow_test, retries_an_idempotent_request_on_another_server) {
  auto flow = make_flow(make_request(false));
  const auto pause = run_first_attempt(
      flow, {.ending = attempt_ending::interrupted, .server_crashed = true});
  ASSERT_TRUE(std::holds_alternative<pause_until>(pause));
  const auto retry = flow.on_pause_over(as<pause_until>(pause).until);
  EXPECT_EQ(as<request_permit>(retry).request.excluded,
            std::vector<std::string>{"s1"});
  EXPECT_EQ(as<request_permit>(retry).request.crashes, 1u);
}

TEST(request_flow_test,
     reports_unknown_if_the_budget_is_exhausted_after_a_run) {
  auto flow = make_flow(make_request(false), false);
  const auto step =
      run_first_attempt(flow, {.ending = attempt_ending::interrupted});
  EXPECT_EQ(as<refuse_request>(step).response.code,
            result_code::retry_budget_spent);
  EXPECT_EQ(as<refuse_request>(step).response.ran, ran_state::unknown);
  auto unsent = make_flow(make_request(false), false);
  const auto not_run =
      run_first_attempt(unsent, {.ending = attempt_ending::not_sent});
  EXPECT_EQ(as<refuse_request>(not_run).response.ran, ran_state::no);
}

TEST(request_flow_test, retries_at_a_busy_server_until_the_deadline) {
  // Guards against `server_busy` being sent to a caller after 2 s of its 10 s:
  // its home chose a server that another home kept full, and each refusal there
  // counted as a failed attempt and exhausted the retry budget.
  auto flow = make_flow(make_request(false), false, {.max_attempts = 2});
  flow_step step = flow.begin(start);
  time_point now = start;
  int refusals = 0;
  while (!is_final(step)) {
    flow.on_permit(grant_on("s1"), now);
    step = flow.on_attempt(
        {.ending = attempt_ending::refused, .code = result_code::server_busy},
        now);
    ++refusals;
    const auto* pause = std::get_if<pause_until>(&step);
    if (pause == nullptr) break;
    now = pause->until + milliseconds(100);
    step = flow.on_pause_over(now);
  }
  EXPECT_GT(refusals, 8);
  EXPECT_EQ(as<refuse_request>(step).response.code,
            result_code::deadline_passed);
  EXPECT_EQ(as<refuse_request>(step).response.ran, ran_state::no);
  EXPECT_LE(now, start + time_limit + milliseconds(100));
}

TEST(request_flow_test, counts_failures_that_are_not_transient) {
  auto flow = make_flow(make_request(false), true, {.max_attempts = 2});
  run_first_attempt(flow, {.ending = attempt_ending::not_sent});
  flow.on_pause_over(start);
  flow.on_permit(grant_on("s1"), start);
  const auto last = flow.on_attempt(
      {.ending = attempt_ending::refused, .code = result_code::draining},
      start);
  EXPECT_EQ(as<refuse_request>(last).response.code, result_code::draining);
}

TEST(request_flow_test, does_not_retry_once_part_of_the_response_was_sent) {
  auto flow = make_flow(make_request(false));
  const auto step =
      run_first_attempt(flow, {.ending = attempt_ending::interrupted,
                               .code = result_code::answer_broken,
                               .partly_forwarded = true});
  EXPECT_EQ(as<refuse_request>(step).response.ran, ran_state::unknown);
}

TEST(request_flow_test, queries_an_interrupted_non_idempotent_attempt) {
  // Guards against running a non-idempotent request twice: the connection
  // breaks after the request was sent, and the router sends it to another
  // server while the first one still runs it.
  for (const auto status : {attempt_status::never_ran, attempt_status::running,
                            attempt_status::ended, attempt_status::broken,
                            attempt_status::forgotten}) {
    auto flow = make_flow(make_request(true));
    const auto query =
        run_first_attempt(flow, {.ending = attempt_ending::interrupted});
    ASSERT_TRUE(std::holds_alternative<query_attempt_status>(query));
    const auto step = flow.on_attempt_status(status, start);
    const bool pauses = status == attempt_status::never_ran ||
                        status == attempt_status::running;
    EXPECT_EQ(std::holds_alternative<pause_until>(step), pauses);
    EXPECT_EQ(std::holds_alternative<fetch_stored_response>(step),
              status == attempt_status::ended);
    if (const auto* end = std::get_if<refuse_request>(&step)) {
      EXPECT_EQ(end->response.ran, ran_state::unknown);
      EXPECT_EQ(end->response.code, result_code::outcome_unknown);
    }
  }
}

TEST(request_flow_test, stops_querying_an_unresponsive_agent) {
  auto flow = make_flow(make_request(true));
  flow_step step =
      run_first_attempt(flow, {.ending = attempt_ending::interrupted});
  int queries = 0;
  time_point now = start;
  while (!is_final(step)) {
    if (const auto* pause = std::get_if<pause_until>(&step)) {
      now = pause->until;
      step = flow.on_pause_over(now);
      continue;
    }
    ++queries;
    step = flow.on_attempt_status(std::nullopt, now);
  }
  EXPECT_EQ(queries, 3);
  EXPECT_EQ(as<refuse_request>(step).response.ran, ran_state::unknown);
}

/// Drives a request_flow with random events and records what actually ran.
struct random_environment {
  explicit random_environment(std::uint32_t seed, flow_request parameters)
      : random(seed),
        request(std::move(parameters)),
        flow(
            request, {}, [this] { return this->one_in(8) ? false : true; },
            [this] { return this->random(); }) {}

  bool one_in(int n) { return this->random() % n == 0; }

  flow_step run() {
    flow_step step = this->flow.begin(this->now);
    for (; !is_final(step); ++this->steps) {
      if (this->steps > 500) break;
      this->now += milliseconds(this->random() % 60);
      step = std::visit([this](const auto& s) { return this->on(s); }, step);
    }
    return step;
  }

  flow_step on(const request_permit& step) {
    EXPECT_TRUE(this->requested_attempts.insert(step.request.attempt).second);
    EXPECT_GT(step.request.time_left_ms, 0);
    if (this->one_in(4)) return this->flow.on_home_lost(this->now);
    permit_answer response = grant_on("s" + std::to_string(this->random() % 3));
    if (this->one_in(4)) response.state = permit_state::queued;
    if (this->one_in(12)) response.state = permit_state::refused;
    response.code = static_cast<int>(result_code::queue_full);
    return this->flow.on_permit(response, this->now);
  }
  flow_step on(const await_permit& step) {
    EXPECT_EQ(step.until, this->request.deadline);
    if (this->one_in(6)) this->now = step.until;
    if (this->one_in(3)) return this->flow.on_home_lost(this->now);
    return this->flow.on_permit(grant_on("s1"), this->now);
  }
  flow_step on(const write_claim& step) {
    EXPECT_TRUE(this->request.has_idempotency_key);
    this->claimed_attempt = step.attempt.to_string();
    return this->flow.on_claim_written(
        this->one_in(8) ? result_code::platform_down : result_code::ok,
        this->now);
  }
  flow_step on(const dispatch& step) {
    EXPECT_LT(this->now, this->request.deadline + milliseconds(60));
    const std::string id = step.attempt.to_string();
    this->last_attempt = step.attempt;
    EXPECT_TRUE(this->dispatched.insert(id).second);
    if (this->request.has_idempotency_key) {
      EXPECT_EQ(this->claimed_attempt, id);
    }
    if (this->request.non_idempotent) {
      EXPECT_EQ(this->runs, 0);
    }
    attempt_result result{.ending =
                              static_cast<attempt_ending>(this->random() % 5)};
    this->last_attempt_ran = result.ending == attempt_ending::complete;
    if (result.ending == attempt_ending::refused && this->one_in(2)) {
      result.code = result_code::server_busy;
    }
    if (result.ending == attempt_ending::interrupted) {
      this->last_attempt_ran = this->one_in(2);
      result.server_crashed = this->last_attempt_ran && this->one_in(4);
      result.partly_forwarded = this->last_attempt_ran && this->one_in(4);
    }
    if (result.ending == attempt_ending::caller_disconnected) {
      this->last_attempt_ran = this->one_in(2);
    }
    this->runs += this->last_attempt_ran ? 1 : 0;
    return this->flow.on_attempt(result, this->now);
  }
  flow_step on(const query_attempt_status& step) {
    EXPECT_EQ(step.attempt, this->last_attempt);
    if (this->one_in(3)) {
      return this->flow.on_attempt_status(std::nullopt, this->now);
    }
    // An agent reports `never_ran` only for an attempt that can't run later.
    auto status = attempt_status::never_ran;
    if (this->last_attempt_ran) {
      status = static_cast<attempt_status>(1 + this->random() % 4);
    }
    return this->flow.on_attempt_status(status, this->now);
  }
  flow_step on(const fetch_stored_response&) {
    EXPECT_TRUE(this->last_attempt_ran);
    return this->flow.on_stored_response(!this->one_in(3), this->now);
  }
  flow_step on(const pause_until& step) {
    EXPECT_LE(step.until, this->request.deadline);
    this->now = std::max(this->now, step.until);
    return this->flow.on_pause_over(this->now);
  }
  flow_step on(const delivered& step) { return step; }
  flow_step on(const refuse_request& step) { return step; }

  std::mt19937 random;
  flow_request request;
  request_flow flow;
  time_point now = start;
  int steps = 0;
  int runs = 0;
  bool last_attempt_ran = false;
  std::string claimed_attempt;
  attempt_id last_attempt;
  std::set<std::string> requested_attempts;
  std::set<std::string> dispatched;
};

TEST(request_flow_test, reports_the_run_state_correctly_on_random_paths) {
  // For any order of events: a refusal that states "not run" had no run (else
  // the caller retries and the request runs twice), a non-idempotent request
  // runs at most once, and each request ends by its deadline (else the caller
  // hangs).
  int refused_count = 0;
  int delivered_count = 0;
  for (std::uint32_t seed = 0; seed < 20000; ++seed) {
    SCOPED_TRACE(seed);
    const bool non_idempotent = seed % 2 == 0;
    random_environment environment(
        seed, make_request(non_idempotent, non_idempotent && seed % 4 == 0));
    const flow_step end = environment.run();
    ASSERT_TRUE(is_final(end));
    EXPECT_LE(environment.now, start + time_limit + milliseconds(60));
    if (non_idempotent) {
      EXPECT_LE(environment.runs, 1);
    }
    const auto* refusal = std::get_if<refuse_request>(&end);
    (refusal != nullptr ? refused_count : delivered_count) += 1;
    if (refusal == nullptr) {
      EXPECT_GE(environment.runs, 1);
    } else if (refusal->response.ran == ran_state::no) {
      EXPECT_EQ(environment.runs, 0);
    }
    if (::testing::Test::HasFailure()) return;
  }
  EXPECT_GT(refused_count, 1000);
  EXPECT_GT(delivered_count, 1000);
}

}  // namespace
}  // namespace boragehill::decide
