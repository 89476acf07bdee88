#include "decide/home.hpp"

#include <gtest/gtest.h>

#include "decide/catalog.hpp"

namespace boragehill::decide {
namespace {

using wire::attempt_outcome;
using wire::permit_answer;
using wire::permit_state;
using wire::replica_state;

constexpr milliseconds second{1000};
const std::string target = "model:m";

/// A home with the one model "m", on a simulated clock.
struct bench {
  explicit bench(home_settings settings = {}, profile_model wanted = {})
      : h(settings, {}) {
    wanted.name = "m";
    wanted.bytes = 10;
    h.on_catalog(catalog(1, {profile{.name = "p", .models = {wanted}}}), now);
  }

  permit_answer ask(const std::string& attempt, milliseconds left = 30 * second,
                    const std::string& fingerprint = "",
                    const std::string& adapter = "") {
    return h.request_permit(
        {.attempt = attempt,
         .entry = {"10.0.0.1", 1},
         .target = target,
         .adapter = adapter,
         .time_left_ms = left.count(),
         .fingerprint = fingerprint.empty() ? attempt : fingerprint},
        now);
  }

  void report(const std::string& server, replica_state state,
              std::uint32_t slots = 4, std::uint64_t fence = 1,
              std::vector<std::string> adapters = {}, bool draining = false) {
    agent_clock += 1;
    h.on_report({.server = server,
                 .fence = fence,
                 .now_ms = agent_clock,
                 .free_bytes = 100,
                 .slots = slots,
                 .draining = draining,
                 .replicas = {{.name = "m",
                               .state = state,
                               .adapters = std::move(adapters)}}},
                now);
  }

  void done(const std::string& attempt, attempt_outcome outcome,
            const std::string& server = "s1",
            const std::string& fingerprint = "") {
    h.on_attempt_end(
        {.attempt = attempt,
         .target = target,
         .server = server,
         .fingerprint = fingerprint.empty() ? attempt : fingerprint,
         .outcome = outcome},
        now);
  }

  template <class Action>
  std::vector<Action> take() {
    std::vector<Action> found;
    for (const auto& action : h.take_actions()) {
      if (const auto* one = std::get_if<Action>(&action)) found.push_back(*one);
    }
    return found;
  }

  std::vector<std::string> granted() {
    std::vector<std::string> attempts;
    for (const auto& told : take<notify_entry>()) {
      if (told.response.state == permit_state::granted) {
        attempts.push_back(told.response.attempt);
      }
    }
    return attempts;
  }

  time_point now = time_point{} + std::chrono::hours(1);
  std::int64_t agent_clock = 0;
  home h;
};

using names = std::vector<std::string>;

TEST(home_test, orders_one_wake_for_a_burst_and_then_serves_it) {
  // Guards against one load order for each request when 30 requests arrive at
  // once for a model that is not loaded.
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.report("s1", replica_state::cold, 64);
  for (int i = 0; i < 30; ++i) {
    EXPECT_EQ(b.ask("e.1." + std::to_string(i)).state, permit_state::queued);
  }
  EXPECT_EQ(b.take<order_load>().size(), 1u);
  b.report("s1", replica_state::loading, 64);
  b.h.tick(b.now);
  EXPECT_TRUE(b.take<order_load>().empty());
  b.report("s1", replica_state::ready, 64);
  EXPECT_EQ(b.granted().size(), 30u);
  EXPECT_EQ(b.h.waiting(), 0u);
}

TEST(home_test, serves_the_earliest_deadline_first) {
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.report("s1", replica_state::loading, 2);
  b.ask("late", 30 * second);
  b.ask("early", 10 * second);
  b.ask("middle", 20 * second);
  b.h.take_actions();
  b.report("s1", replica_state::ready, 2);
  EXPECT_EQ(b.granted(), (names{"early", "middle"}));
  b.done("early", attempt_outcome::answered);
  EXPECT_EQ(b.granted(), names{"late"});
}

TEST(home_test, refuses_at_once_when_the_queue_is_full) {
  bench b({.queue_per_target = 2});
  b.ask("a");
  b.ask("b");
  const auto answer = b.ask("c");
  EXPECT_EQ(answer.state, permit_state::refused);
  EXPECT_EQ(answer.code, static_cast<int>(result_code::queue_full));
  EXPECT_GT(answer.retry_after_ms, 0);
  b.h.withdraw("a", b.now);
  EXPECT_EQ(b.ask("d").state, permit_state::queued);
}

TEST(home_test, refuses_at_once_when_the_measured_load_is_too_long) {
  // Guards against a request with 2 s left that waits in vain for a model whose
  // load takes 20 s, instead of being refused at once.
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.report("s1", replica_state::cold);
  EXPECT_EQ(b.ask("guess", 2 * second).state, permit_state::queued)
      << "a first guess refuses nobody";
  b.h.withdraw("guess", b.now);
  b.ask("first", 60 * second);
  b.now += 20 * second;
  b.report("s1", replica_state::ready);
  b.done("first", attempt_outcome::answered);
  b.report("s1", replica_state::cold);
  const auto answer = b.ask("short", 2 * second);
  EXPECT_EQ(answer.state, permit_state::refused);
  EXPECT_EQ(answer.code, static_cast<int>(result_code::deadline_unreachable));
  EXPECT_EQ(b.ask("long", 60 * second).state, permit_state::queued);
}

TEST(home_test, never_orders_more_wakes_than_grants) {
  bench b({.scale_out_wait = milliseconds{0}},
          {.replicas = 2, .max_replicas = 2});
  b.h.on_servers(target, {"s1", "s2"}, b.now);
  for (const auto* server : {"s1", "s2", "s3"}) {
    b.report(server, replica_state::cold, 1);
  }
  std::set<std::string> woken;
  for (int i = 0; i < 200; ++i) {
    b.ask("e.1." + std::to_string(i), 600 * second);
    b.h.tick(b.now);
    for (const auto& wake : b.take<order_load>()) {
      EXPECT_TRUE(woken.insert(wake.server).second);
      b.h.on_load_response(wake, {.code = 0, .ready_in_ms = 60000}, b.now);
    }
  }
  EXPECT_FALSE(woken.contains("s3"));
  EXPECT_LE(woken.size(), 2u);
}

TEST(home_test, gives_one_permit_for_one_attempt) {
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.report("s1", replica_state::ready, 2);
  const auto first = b.ask("a");
  ASSERT_EQ(first.state, permit_state::granted);
  b.now += milliseconds(50);
  EXPECT_EQ(b.ask("a"), first);
  EXPECT_EQ(b.h.outstanding_permits(), 1u);
  b.ask("b");
  EXPECT_EQ(b.ask("c").state, permit_state::queued) << "both slots are taken";
  EXPECT_EQ(b.ask("c").state, permit_state::queued);
  EXPECT_EQ(b.h.waiting(), 1u);
}

TEST(home_test, drops_reports_of_an_older_agent_or_overtaken_on_the_way) {
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.report("s1", replica_state::ready, 4, 2);
  b.report("s1", replica_state::cold, 4, 1);
  b.agent_clock = -1;
  b.report("s1", replica_state::cold, 4, 2);
  EXPECT_EQ(b.ask("a").fence, 2u);
}

TEST(home_test, sends_nothing_to_a_silent_leaving_or_failed_server) {
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.report("s1", replica_state::ready);
  b.now += milliseconds(2501);
  EXPECT_EQ(b.ask("a").state, permit_state::queued);
  b.report("s1", replica_state::ready);
  EXPECT_EQ(b.granted(), names{"a"});
  b.h.on_suspected("s1", b.now);
  EXPECT_EQ(b.ask("b").state, permit_state::queued);
  b.now += milliseconds(3000);
  b.report("s1", replica_state::ready, 4, 1, {}, true);
  EXPECT_TRUE(b.granted().empty()) << "it says that it drains";
  b.report("s1", replica_state::ready);
  EXPECT_EQ(b.granted(), names{"b"});
  b.h.on_draining("s1");
  b.report("s1", replica_state::ready);
  EXPECT_EQ(b.ask("c").state, permit_state::queued);
}

TEST(home_test, tells_a_permit_again_when_the_waiting_entry_renews) {
  // Guards against a request that waits until its deadline beside an idle
  // replica because the message with its permit was lost.
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.ask("a");
  b.report("s1", replica_state::ready);
  EXPECT_EQ(b.granted(), names{"a"});
  EXPECT_EQ(b.h.on_renewal({"a", "never-heard-of"}), names{"never-heard-of"});
  EXPECT_EQ(b.granted(), names{"a"});
  b.done("a", attempt_outcome::answered);
  EXPECT_EQ(b.h.on_renewal({"a"}), names{"a"});
}

TEST(home_test, runs_a_struck_request_alone_and_convicts_only_then) {
  // Guards against a harmless request being quarantined with a poison request
  // that ran on the same server. A crash implicates both; only a request that
  // crashes a server while it runs alone is quarantined.
  bench b({}, {.replicas = 2, .max_replicas = 2});
  b.h.on_servers(target, {"s1", "s2"}, b.now);
  b.report("s1", replica_state::ready);
  ASSERT_EQ(b.ask("bad.1", 30 * second, "bad").server, "s1");
  b.ask("good.1", 30 * second, "good");
  b.done("bad.1", attempt_outcome::crashed, "s1", "bad");
  b.done("good.1", attempt_outcome::crashed, "s1", "good");
  EXPECT_TRUE(b.take<share_quarantine>().empty());
  b.report("s2", replica_state::ready);
  const auto second_try = b.ask("bad.2", 30 * second, "bad");
  EXPECT_EQ(second_try.state, permit_state::granted);
  EXPECT_TRUE(second_try.exclusive);
  EXPECT_EQ(b.ask("good.2", 30 * second, "good").state, permit_state::queued);
  EXPECT_EQ(b.ask("new").state, permit_state::queued) << "it runs alone";
  b.h.take_actions();
  b.done("bad.2", attempt_outcome::crashed, "s2", "bad");
  EXPECT_EQ(b.take<share_quarantine>(), std::vector<share_quarantine>{{"bad"}});
  EXPECT_EQ(b.ask("bad.3", 30 * second, "bad").code,
            static_cast<int>(result_code::request_convicted));
  b.now += milliseconds(3001);
  b.report("s2", replica_state::ready);
  b.done("good.2", attempt_outcome::answered, "s2", "good");
  b.h.tick(b.now);
  EXPECT_EQ(b.h.implicated_requests().size(), 1u)
      << "success clears the innocent one";
}

TEST(home_test, refuses_what_another_router_convicted) {
  bench b;
  b.h.on_quarantine("bad", b.now);
  EXPECT_EQ(b.ask("a", second, "bad").state, permit_state::refused);
}

TEST(home_test, frees_a_place_when_an_attempt_is_withdrawn) {
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.report("s1", replica_state::ready, 1);
  b.ask("a");
  EXPECT_EQ(b.ask("b").state, permit_state::queued);
  b.h.withdraw("a", b.now);
  b.h.tick(b.now);
  EXPECT_EQ(b.granted(), names{"b"});
  b.ask("c");
  b.h.on_entry_lost({"10.0.0.1", 1}, b.now);
  EXPECT_EQ(b.h.waiting(), 0u);
}

TEST(home_test, counts_a_permit_as_gone_some_time_after_its_deadline) {
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.report("s1", replica_state::ready, 1);
  b.ask("a", second);
  b.now += milliseconds(4999);
  b.h.tick(b.now);
  EXPECT_EQ(b.h.outstanding_permits(), 1u);
  b.now += milliseconds(1);
  b.h.tick(b.now);
  EXPECT_EQ(b.h.outstanding_permits(), 0u);
}

TEST(home_test, ends_a_waiting_request_at_its_deadline) {
  bench b;
  b.ask("a", second);
  b.now += second;
  b.h.tick(b.now);
  const auto told = b.take<notify_entry>();
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].response.code,
            static_cast<int>(result_code::deadline_passed));
}

TEST(home_test, orders_a_lost_wake_elsewhere_and_asks_grants_for_the_silent) {
  bench b({}, {.replicas = 2, .max_replicas = 2});
  b.h.on_servers(target, {}, b.now);
  const auto ahead = b.take<request_grants>();
  ASSERT_FALSE(ahead.empty());
  EXPECT_EQ(ahead[0].count, 2u);
  EXPECT_TRUE(ahead[0].is_proactive);
  b.h.on_servers(target, {"s1", "s2"}, b.now);
  b.report("s1", replica_state::cold);
  b.report("s2", replica_state::cold);
  b.ask("a");
  const auto first = b.take<order_load>();
  ASSERT_EQ(first.size(), 1u);
  b.h.on_load_order_lost(first[0], b.now);
  const auto again = b.take<order_load>();
  ASSERT_EQ(again.size(), 1u);
  EXPECT_NE(again[0].server, first[0].server);
  b.now += milliseconds(5001);
  b.report("s2", replica_state::cold);
  b.h.tick(b.now);
  const auto asked = b.take<request_grants>();
  ASSERT_FALSE(asked.empty());
  EXPECT_EQ(asked[0].count, 3u);
  EXPECT_FALSE(asked[0].is_proactive);
  EXPECT_EQ(asked[0].uncounted_servers, names{"s1"});
}

TEST(home_test, follows_the_catalog_in_what_it_keeps_warm) {
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.report("s1", replica_state::cold);
  EXPECT_TRUE(b.take<order_load>().empty());
  const profile_model warm{.name = "m", .bytes = 10, .warm = 1};
  b.h.on_catalog(catalog(2, {profile{.name = "p", .models = {warm}}}), b.now);
  const auto wakes = b.take<order_load>();
  ASSERT_EQ(wakes.size(), 1u);
  EXPECT_LT(wakes[0].order.keep_warm_ms, 0);
  b.h.on_catalog(catalog(3, {}), b.now);
  EXPECT_FALSE(b.h.target(target)->spec);
}

TEST(home_test, loads_an_adapter_before_its_requests_run) {
  bench b;
  b.h.on_servers(target, {"s1"}, b.now);
  b.report("s1", replica_state::ready);
  EXPECT_EQ(b.ask("a", 30 * second, "", "x").state, permit_state::queued);
  b.ask("b", 30 * second, "", "x");
  const auto wakes = b.take<order_load>();
  ASSERT_EQ(wakes.size(), 1u);
  EXPECT_EQ(wakes[0].order.adapter, "x");
  EXPECT_EQ(b.ask("base").state, permit_state::granted);
  b.report("s1", replica_state::ready, 4, 1, {"x"});
  EXPECT_EQ(b.granted(), (names{"a", "b"}));
}

}  // namespace
}  // namespace boragehill::decide
