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
constexpr milliseconds wait{10000};

flow_request asked(bool non_idempotent, bool keyed = false) {
  return {.incarnation = "e",
          .sequence = 1,
          .target = "model:m",
          .non_idempotent = non_idempotent,
          .has_idempotency_key = keyed,
          .deadline = start + wait};
}

request_flow flow_of(flow_request request, bool budget = true,
                     flow_limits limits = {}) {
  return request_flow(
      std::move(request), limits, [budget] { return budget; },
      [] { return std::uint64_t{7}; });
}

permit_answer granted(const std::string& server) {
  permit_answer answer{.state = permit_state::granted, .server = server};
  return answer;
}

template <class Step>
const Step& as(const flow_step& step) {
  return std::get<Step>(step);
}

flow_step attempt_ends(request_flow& flow, attempt_result result,
                       time_point now = start) {
  flow.begin(now);
  flow.on_permit(granted("s1"), now);
  return flow.on_attempt(result, now);
}

TEST(request_flow_test, asks_home_dispatches_and_delivers) {
  auto flow = flow_of(asked(false));
  const auto first = flow.begin(start);
  EXPECT_EQ(as<request_permit>(first).request.attempt, "e.1.1");
  EXPECT_EQ(as<request_permit>(first).request.time_left_ms, wait.count());
  EXPECT_EQ(as<dispatch>(flow.on_permit(granted("s1"), start)).permit.server,
            "s1");
  EXPECT_TRUE(
      is_final(flow.on_attempt({.ending = attempt_ending::complete}, start)));
}

TEST(request_flow_test, writes_a_claim_before_a_keyed_run_and_else_refuses) {
  auto flow = flow_of(asked(true, true));
  flow.begin(start);
  EXPECT_TRUE(std::holds_alternative<write_claim>(
      flow.on_permit(granted("s1"), start)));
  const auto step = flow.on_claim_written(result_code::platform_down, start);
  EXPECT_EQ(as<refuse_request>(step).response.ran, ran_state::no);
  EXPECT_EQ(as<refuse_request>(step).response.code, result_code::platform_down);
}

TEST(request_flow_test, takes_a_new_attempt_number_after_a_lost_home) {
  // Otherwise one request could run on two servers: a home taken for lost and
  // the next home would both grant the same attempt.
  auto flow = flow_of(asked(false));
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

TEST(request_flow_test, retries_an_idempotent_run_elsewhere) {
  auto flow = flow_of(asked(false));
  const auto pause = attempt_ends(
      flow, {.ending = attempt_ending::interrupted, .server_crashed = true});
  ASSERT_TRUE(std::holds_alternative<pause_until>(pause));
  const auto again = flow.on_pause_over(as<pause_until>(pause).until);
  EXPECT_EQ(as<request_permit>(again).request.excluded,
            std::vector<std::string>{"s1"});
  EXPECT_EQ(as<request_permit>(again).request.crashes, 1u);
}

TEST(request_flow_test, says_unknown_when_the_budget_ends_after_a_run) {
  auto flow = flow_of(asked(false), false);
  const auto step = attempt_ends(flow, {.ending = attempt_ending::interrupted});
  EXPECT_EQ(as<refuse_request>(step).response.code,
            result_code::retry_budget_spent);
  EXPECT_EQ(as<refuse_request>(step).response.ran, ran_state::unknown);
  auto unsent = flow_of(asked(false), false);
  const auto no = attempt_ends(unsent, {.ending = attempt_ending::not_sent});
  EXPECT_EQ(as<refuse_request>(no).response.ran, ran_state::no);
}

TEST(request_flow_test, outwaits_a_busy_server_until_its_deadline) {
  // Guards against `server_busy` being sent to a caller after 2 s of its 10 s:
  // its home chose a server that another home kept full, and each refusal there
  // counted as a failed attempt and exhausted the retry budget.
  auto flow = flow_of(asked(false), false, {.max_attempts = 2});
  flow_step step = flow.begin(start);
  time_point now = start;
  int refusals = 0;
  while (!is_final(step)) {
    flow.on_permit(granted("s1"), now);
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
  EXPECT_LE(now, start + wait + milliseconds(100));
}

TEST(request_flow_test, counts_other_failures_as_attempts) {
  auto flow = flow_of(asked(false), true, {.max_attempts = 2});
  attempt_ends(flow, {.ending = attempt_ending::not_sent});
  flow.on_pause_over(start);
  flow.on_permit(granted("s1"), start);
  const auto last = flow.on_attempt(
      {.ending = attempt_ending::refused, .code = result_code::draining},
      start);
  EXPECT_EQ(as<refuse_request>(last).response.code, result_code::draining);
}

TEST(request_flow_test, never_repeats_once_parts_went_to_the_caller) {
  auto flow = flow_of(asked(false));
  const auto step = attempt_ends(flow, {.ending = attempt_ending::interrupted,
                                        .code = result_code::answer_broken,
                                        .partly_forwarded = true});
  EXPECT_EQ(as<refuse_request>(step).response.ran, ran_state::unknown);
}

TEST(request_flow_test, asks_for_the_fate_of_a_broken_non_idempotent_run) {
  // Guards against running a non-idempotent request twice: the connection
  // breaks after the request was sent, and the router sends it to another
  // server while the first one still runs it.
  for (const auto status : {attempt_status::never_ran, attempt_status::running,
                            attempt_status::ended, attempt_status::broken,
                            attempt_status::forgotten}) {
    auto flow = flow_of(asked(true));
    const auto ask =
        attempt_ends(flow, {.ending = attempt_ending::interrupted});
    ASSERT_TRUE(std::holds_alternative<query_attempt_status>(ask));
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

TEST(request_flow_test, stops_asking_an_agent_that_stays_silent) {
  auto flow = flow_of(asked(true));
  flow_step step = attempt_ends(flow, {.ending = attempt_ending::interrupted});
  int asks = 0;
  time_point now = start;
  while (!is_final(step)) {
    if (const auto* pause = std::get_if<pause_until>(&step)) {
      now = pause->until;
      step = flow.on_pause_over(now);
      continue;
    }
    ++asks;
    step = flow.on_attempt_status(std::nullopt, now);
  }
  EXPECT_EQ(asks, 3);
  EXPECT_EQ(as<refuse_request>(step).response.ran, ran_state::unknown);
}

/// Drives a request_flow with random events and records what actually ran.
struct random_surroundings {
  explicit random_surroundings(std::uint32_t seed, flow_request facts)
      : random(seed),
        request(std::move(facts)),
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
    EXPECT_TRUE(this->asked.insert(step.request.attempt).second);
    EXPECT_GT(step.request.time_left_ms, 0);
    if (this->one_in(4)) return this->flow.on_home_lost(this->now);
    permit_answer answer = granted("s" + std::to_string(this->random() % 3));
    if (this->one_in(4)) answer.state = permit_state::queued;
    if (this->one_in(12)) answer.state = permit_state::refused;
    answer.code = static_cast<int>(result_code::queue_full);
    return this->flow.on_permit(answer, this->now);
  }
  flow_step on(const await_permit& step) {
    EXPECT_EQ(step.until, this->request.deadline);
    if (this->one_in(6)) this->now = step.until;
    if (this->one_in(3)) return this->flow.on_home_lost(this->now);
    return this->flow.on_permit(granted("s1"), this->now);
  }
  flow_step on(const write_claim& step) {
    EXPECT_TRUE(this->request.has_idempotency_key);
    this->claimed = step.attempt.to_string();
    return this->flow.on_claim_written(
        this->one_in(8) ? result_code::platform_down : result_code::ok,
        this->now);
  }
  flow_step on(const dispatch& step) {
    EXPECT_LT(this->now, this->request.deadline + milliseconds(60));
    const std::string id = step.attempt.to_string();
    this->sent = step.attempt;
    EXPECT_TRUE(this->dispatched.insert(id).second);
    if (this->request.has_idempotency_key) {
      EXPECT_EQ(this->claimed, id);
    }
    if (this->request.non_idempotent) {
      EXPECT_EQ(this->runs, 0);
    }
    attempt_result result{.ending =
                              static_cast<attempt_ending>(this->random() % 5)};
    this->here = result.ending == attempt_ending::complete;
    if (result.ending == attempt_ending::refused && this->one_in(2)) {
      result.code = result_code::server_busy;
    }
    if (result.ending == attempt_ending::interrupted) {
      this->here = this->one_in(2);
      result.server_crashed = this->here && this->one_in(4);
      result.partly_forwarded = this->here && this->one_in(4);
    }
    if (result.ending == attempt_ending::caller_disconnected) {
      this->here = this->one_in(2);
    }
    this->runs += this->here ? 1 : 0;
    return this->flow.on_attempt(result, this->now);
  }
  flow_step on(const query_attempt_status& step) {
    EXPECT_EQ(step.attempt, this->sent);
    if (this->one_in(3))
      return this->flow.on_attempt_status(std::nullopt, this->now);
    // An agent reports `never_ran` only for an attempt that can't run later.
    auto status = attempt_status::never_ran;
    if (this->here) {
      status = static_cast<attempt_status>(1 + this->random() % 4);
    }
    return this->flow.on_attempt_status(status, this->now);
  }
  flow_step on(const fetch_stored_response&) {
    EXPECT_TRUE(this->here);
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
  bool here = false;
  std::string claimed;
  attempt_id sent;
  std::set<std::string> asked;
  std::set<std::string> dispatched;
};

TEST(request_flow_test, tells_the_truth_on_every_random_path) {
  // For any order of events: a refusal that states "not run" had no run (else
  // the caller retries and the request runs twice), a non-idempotent request
  // runs at most once, and each request ends by its deadline.
  int refused = 0;
  int answered = 0;
  for (std::uint32_t seed = 0; seed < 20000; ++seed) {
    SCOPED_TRACE(seed);
    const bool once = seed % 2 == 0;
    random_surroundings around(seed, asked(once, once && seed % 4 == 0));
    const flow_step end = around.run();
    ASSERT_TRUE(is_final(end));
    EXPECT_LE(around.now, start + wait + milliseconds(60));
    if (once) {
      EXPECT_LE(around.runs, 1);
    }
    const auto* refusal = std::get_if<refuse_request>(&end);
    (refusal != nullptr ? refused : answered) += 1;
    if (refusal == nullptr) {
      EXPECT_GE(around.runs, 1);
    } else if (refusal->response.ran == ran_state::no) {
      EXPECT_EQ(around.runs, 0);
    }
    if (::testing::Test::HasFailure()) return;
  }
  EXPECT_GT(refused, 1000);
  EXPECT_GT(answered, 1000);
}

}  // namespace
}  // namespace boragehill::decide
