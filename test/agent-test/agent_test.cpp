#include "agent_bench.hpp"

namespace boragehill::agent {
namespace {

using agent_test = agent_bench;

TEST_F(agent_test, loads_on_a_wake_and_runs_an_attempt_whole) {
  this->wake_until_ready("a");
  const auto frames = this->attempt(1);
  ASSERT_EQ(frames.size(), 4U);
  EXPECT_EQ(std::get<wire::frame_head>(frames[0]).status, 200);
  EXPECT_EQ(std::get<wire::frame_end>(frames[3]).length, 10U);
  EXPECT_TRUE(soon([&] { return this->running() == 0; }));
  EXPECT_EQ(this->asked("agent.attempt", 1), wire::attempt_status::ended);
}

TEST_F(agent_test, refuses_as_not_run_what_is_not_loaded) {
  ASSERT_TRUE(soon([&] { return this->row().fence > 0; }));
  ASSERT_TRUE(soon([&] {
    return failure_in(this->attempt(1)).code == result_code::model_not_ready;
  }));
  EXPECT_EQ(failure_in(this->attempt(2)).ran, ran_state::no);
  EXPECT_TRUE(this->engine.look([](auto& own) { return own.runs.empty(); }));
}

TEST_F(agent_test, runs_an_attempt_id_once) {
  this->wake_until_ready("a");
  this->attempt(1);
  EXPECT_EQ(failure_in(this->attempt(1)).code, result_code::attempt_seen);
  EXPECT_EQ(this->engine.look([](auto& own) { return own.runs.size(); }), 1U);
}

TEST_F(agent_test, keeps_a_tombstoned_attempt_from_running) {
  this->wake_until_ready("a");
  EXPECT_EQ(this->asked("agent.tombstone", 1), wire::attempt_status::never_ran);
  EXPECT_EQ(failure_in(this->attempt(1)).code, result_code::attempt_tombstoned);
}

TEST_F(agent_test, hands_over_the_kept_answer_of_a_non_idempotent_attempt) {
  this->wake_until_ready("a");
  const auto first = this->attempt(1, true);
  httplib::Client http("127.0.0.1", this->own->data().port);
  const auto kept = http.Get("/attempt/r1-aa.1.1");
  ASSERT_TRUE(kept);
  EXPECT_EQ(frames_in(kept->body), first);
  const auto none = http.Get("/attempt/r1-aa.2.1");
  ASSERT_TRUE(none);
  EXPECT_EQ(failure_in(frames_in(none->body)).code,
            result_code::attempt_forgotten);
}

// The agent process restarts while its model is loaded and the table is down.
// It gets no fencing number and may order nothing, but a warm model must not
// stand idle until the table is back: its callers are served meanwhile, with no
// second load. Permits of the process before are refused.
TEST_F(agent_test, a_restarted_agent_serves_what_the_engine_holds) {
  this->wake_until_ready("a");
  const auto old_fence = this->row().fence;
  const auto old_permit = this->headers(1, false);
  this->rows.set_down(true);
  this->start();
  EXPECT_EQ(failure_in(this->send(old_permit)).code,
            result_code::wrong_incarnation);
  std::uint64_t sequence = 1;
  ASSERT_TRUE(soon([&] {
    return failure_in(this->attempt(++sequence)).code == result_code::ok;
  }));
  EXPECT_EQ(this->row().fence, old_fence);
  this->rows.set_down(false);
  ASSERT_TRUE(soon([&] { return this->row().fence > old_fence; }));
  EXPECT_EQ(this->engine.look([](auto& own) { return own.orders.size(); }), 1U);
}

// The table takes the new fencing number and its answer is lost. Another start
// may have written the very same number, so it must not be taken for ours.
TEST_F(agent_test, takes_a_higher_fence_when_the_writes_answer_was_lost) {
  ASSERT_TRUE(soon([&] { return this->row().fence == 1; }));
  this->own.reset();
  this->rows.answers_to_lose = 1;
  this->start();
  EXPECT_TRUE(soon([&] { return this->row().fence == 3; }));
}

// The engine loads the model and its answer is lost on the way back. The
// home's callers wait for a model that is ready, until the state is read.
TEST_F(agent_test, finds_a_load_whose_answer_was_lost_in_the_engines_state) {
  this->engine.change([](fake_engine& own) { own.answers_to_lose = 1; });
  this->wake_until_ready("a");
  EXPECT_EQ(this->engine.look([](auto& own) { return own.orders.size(); }), 1U);
}

// The table goes down after the grants were read. Models must still wake.
TEST_F(agent_test, loads_under_a_grant_while_the_table_is_down) {
  this->wake_until_ready("a");
  this->rows.set_down(true);
  ASSERT_TRUE(soon([&] {
    const auto code = this->wake("b");
    return code == result_code::ok;
  }));
  EXPECT_TRUE(soon([&] { return this->ready("b"); }));
  EXPECT_FALSE(this->ready("a"));
}

// An operator stops the agent while an answer streams. The caller must get it
// whole, and new attempts must hear at once that they were not run.
TEST_F(agent_test, a_drain_finishes_what_runs_and_refuses_the_rest) {
  this->wake_until_ready("a");
  this->engine.change([](fake_engine& own) { own.hold = true; });
  std::vector<wire::answer_frame> frames;
  std::jthread caller([&] { frames = this->attempt(1); });
  ASSERT_TRUE(soon([&] { return this->running() == 1; }));
  this->call("agent.drain", Json::objectValue);
  const auto refused = failure_in(this->attempt(2));
  EXPECT_EQ(refused.code, result_code::draining);
  EXPECT_EQ(refused.ran, ran_state::no);
  EXPECT_FALSE(this->own->finished());
  this->engine.change([](fake_engine& own) { own.hold = false; });
  this->own->drain();
  caller.join();
  EXPECT_TRUE(this->own->finished());
  EXPECT_EQ(frames.size(), 4U);
}

TEST_F(agent_test, drains_by_itself_when_its_vm_is_listed_as_leaving) {
  this->vms.set({{.id = "s1",
                  .role = vm_role::model_server,
                  .state = vm_state::leaving}});
  EXPECT_TRUE(soon([&] { return this->own->finished(); }));
  EXPECT_EQ(this->wake("a"), result_code::draining);
}

// A caller hangs up while the model thinks. Its router closes the connection,
// and the engine's slot must come free although no byte is written.
TEST_F(agent_test, a_hang_up_cancels_a_silent_run) {
  this->wake_until_ready("a");
  this->engine.change([](fake_engine& own) { own.hold = true; });
  this->hang_up_on(false);
  EXPECT_TRUE(soon([&] {
    return this->engine.look(
        [](auto& own) { return own.cancelled.contains("r1-aa.1.1"); });
  }));
  EXPECT_TRUE(soon([&] { return this->running() == 0; }));
}

// A router loses its connection while an order runs. The order must run to its
// end and its answer be kept for the resend, since it may not run again.
TEST_F(agent_test, a_hang_up_lets_a_non_idempotent_attempt_finish) {
  this->wake_until_ready("a");
  this->engine.change([](fake_engine& own) { own.hold = true; });
  this->hang_up_on(true);
  std::this_thread::sleep_for(milliseconds(500));
  this->engine.change([](fake_engine& own) { own.hold = false; });
  EXPECT_TRUE(soon([&] {
    return this->asked("agent.attempt", 1) == wire::attempt_status::ended;
  }));
  httplib::Client http("127.0.0.1", this->own->data().port);
  const auto kept = http.Get("/attempt/r1-aa.1.1");
  ASSERT_TRUE(kept);
  EXPECT_EQ(frames_in(kept->body).size(), 4U);
}

// One request crashes the engine. Its caller must not take the half answer for
// a whole one, nor hear that it was not run.
TEST_F(agent_test, an_engine_crash_ends_its_answers_as_unknown) {
  this->wake_until_ready("a");
  this->engine.change([](fake_engine& own) { own.hold = true; });
  std::vector<wire::answer_frame> frames;
  std::jthread caller([&] { frames = this->attempt(1); });
  ASSERT_TRUE(soon([&] { return this->running() == 1; }));
  this->engine.change([](fake_engine& own) { own.crashed = true; });
  caller.join();
  EXPECT_EQ(failure_in(frames).code, result_code::engine_crashed);
  EXPECT_EQ(failure_in(frames).ran, ran_state::unknown);
  // One that comes before the loss is noticed runs, and isn't run again.
  std::uint64_t next = 1;
  EXPECT_TRUE(soon([&] {
    return failure_in(this->attempt(++next)).code == result_code::engine_down;
  }));
}

TEST_F(agent_test, a_stop_cuts_off_a_run_that_would_not_end) {
  this->wake_until_ready("a");
  this->engine.change([](fake_engine& own) { own.hold = true; });
  std::vector<wire::answer_frame> frames;
  std::jthread caller([&] { frames = this->attempt(1); });
  ASSERT_TRUE(soon([&] { return this->running() == 1; }));
  this->own->stop();
  caller.join();
  EXPECT_EQ(failure_in(frames).code, result_code::caller_gone);
}

// Reports reach the homes of what the agent holds, and a given-up grant is
// acknowledged with the fencing number of this start.
TEST_F(agent_test, reports_to_homes_and_acknowledges_a_give_up) {
  std::mutex mutex;
  wire::agent_report last;
  wire::rpc_server router({.listen = {"127.0.0.1", 0}});
  router.add("home.report", [&](const Json::Value& params) {
    const std::lock_guard lock(mutex);
    last = wire::from_json<wire::agent_report>(params).value();
    return result<Json::Value>(Json::Value(Json::objectValue));
  });
  ASSERT_TRUE(router.start());
  this->vms.set(
      {{.id = "r1", .role = vm_role::router, .control = router.bound()}});
  this->wake_until_ready("a");
  this->call("agent.retire", wire::to_json(wire::retire_order{.model = "a"}));
  EXPECT_TRUE(soon([&] {
    const std::lock_guard lock(mutex);
    return last.given_up == std::map<std::string, std::uint64_t>{{"a", 0}} &&
           last.fence == this->row().fence;
  }));
  EXPECT_FALSE(this->ready("a"));
}

}  // namespace
}  // namespace boragehill::agent
