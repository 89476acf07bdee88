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
struct home_fixture {
  explicit home_fixture(home_settings settings = {}, profile_model wanted = {})
      : h(settings, {}) {
    wanted.name = "m";
    wanted.bytes = 10;
    h.on_catalog(catalog(1, {profile{.name = "p", .models = {wanted}}}), now);
  }

  permit_answer request(const std::string& attempt,
                        milliseconds time_left = 30 * second,
                        const std::string& fingerprint = "",
                        const std::string& adapter = "") {
    return h.request_permit(
        {.attempt = attempt,
         .entry = {"10.0.0.1", 1},
         .target = target,
         .adapter = adapter,
         .time_left_ms = time_left.count(),
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

  void end_attempt(const std::string& attempt, attempt_outcome outcome,
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
      if (const auto* hit = std::get_if<Action>(&action)) found.push_back(*hit);
    }
    return found;
  }

  std::vector<std::string> take_granted() {
    std::vector<std::string> attempts;
    for (const auto& notification : take<notify_entry>()) {
      if (notification.response.state == permit_state::granted) {
        attempts.push_back(notification.response.attempt);
      }
    }
    return attempts;
  }

  time_point now = time_point{} + std::chrono::hours(1);
  std::int64_t agent_clock = 0;
  home h;
};

using names = std::vector<std::string>;

TEST(home_test, orders_one_load_for_a_burst_and_then_serves_it) {
  // Guards against one load order for each request when 30 requests arrive at
  // once for a model that is not loaded: the loads would queue up behind one
  // another.
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.report("s1", replica_state::cold, 64);
  for (int i = 0; i < 30; ++i) {
    EXPECT_EQ(fixture.request("e.1." + std::to_string(i)).state,
              permit_state::queued);
  }
  EXPECT_EQ(fixture.take<order_load>().size(), 1u);
  fixture.report("s1", replica_state::loading, 64);
  fixture.h.tick(fixture.now);
  EXPECT_TRUE(fixture.take<order_load>().empty());
  fixture.report("s1", replica_state::ready, 64);
  EXPECT_EQ(fixture.take_granted().size(), 30u);
  EXPECT_EQ(fixture.h.waiting(), 0u);
}

TEST(home_test, serves_the_earliest_deadline_first) {
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.report("s1", replica_state::loading, 2);
  fixture.request("late", 30 * second);
  fixture.request("early", 10 * second);
  fixture.request("middle", 20 * second);
  fixture.h.take_actions();
  fixture.report("s1", replica_state::ready, 2);
  EXPECT_EQ(fixture.take_granted(), (names{"early", "middle"}));
  fixture.end_attempt("early", attempt_outcome::answered);
  EXPECT_EQ(fixture.take_granted(), names{"late"});
}

TEST(home_test, refuses_at_once_when_the_queue_is_full) {
  home_fixture fixture({.queue_per_target = 2});
  fixture.request("a");
  fixture.request("b");
  const auto response = fixture.request("c");
  EXPECT_EQ(response.state, permit_state::refused);
  EXPECT_EQ(response.code, static_cast<int>(result_code::queue_full));
  EXPECT_GT(response.retry_after_ms, 0);
  fixture.h.withdraw("a", fixture.now);
  EXPECT_EQ(fixture.request("d").state, permit_state::queued);
}

TEST(home_test, refuses_at_once_when_the_measured_load_is_too_long) {
  // Guards against a request with 2 s left that waits in vain for a model whose
  // load takes 20 s, instead of being refused at once.
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.report("s1", replica_state::cold);
  EXPECT_EQ(fixture.request("guess", 2 * second).state, permit_state::queued)
      << "an assumed load time must not refuse requests";
  fixture.h.withdraw("guess", fixture.now);
  fixture.request("first", 60 * second);
  fixture.now += 20 * second;
  fixture.report("s1", replica_state::ready);
  fixture.end_attempt("first", attempt_outcome::answered);
  fixture.report("s1", replica_state::cold);
  const auto response = fixture.request("short", 2 * second);
  EXPECT_EQ(response.state, permit_state::refused);
  EXPECT_EQ(response.code, static_cast<int>(result_code::deadline_unreachable));
  EXPECT_EQ(fixture.request("long", 60 * second).state, permit_state::queued);
}

TEST(home_test, never_orders_more_loads_than_grants) {
  home_fixture fixture({.scale_out_wait = milliseconds{0}},
                       {.replicas = 2, .max_replicas = 2});
  fixture.h.on_servers(target, {"s1", "s2"}, fixture.now);
  for (const auto* server : {"s1", "s2", "s3"}) {
    fixture.report(server, replica_state::cold, 1);
  }
  std::set<std::string> loaded;
  for (int i = 0; i < 200; ++i) {
    fixture.request("e.1." + std::to_string(i), 600 * second);
    fixture.h.tick(fixture.now);
    for (const auto& load : fixture.take<order_load>()) {
      EXPECT_TRUE(loaded.insert(load.server).second);
      fixture.h.on_load_response(load, {.code = 0, .ready_in_ms = 60000},
                                 fixture.now);
    }
  }
  EXPECT_FALSE(loaded.contains("s3"));
  EXPECT_LE(loaded.size(), 2u);
}

TEST(home_test, gives_one_permit_for_one_attempt) {
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.report("s1", replica_state::ready, 2);
  const auto first = fixture.request("a");
  ASSERT_EQ(first.state, permit_state::granted);
  fixture.now += milliseconds(50);
  EXPECT_EQ(fixture.request("a"), first);
  EXPECT_EQ(fixture.h.outstanding_permits(), 1u);
  fixture.request("b");
  EXPECT_EQ(fixture.request("c").state, permit_state::queued)
      << "both slots are taken";
  EXPECT_EQ(fixture.request("c").state, permit_state::queued);
  EXPECT_EQ(fixture.h.waiting(), 1u);
}

TEST(home_test, drops_reports_from_an_older_agent_or_out_of_order) {
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.report("s1", replica_state::ready, 4, 2);
  fixture.report("s1", replica_state::cold, 4, 1);
  fixture.agent_clock = -1;
  fixture.report("s1", replica_state::cold, 4, 2);
  EXPECT_EQ(fixture.request("a").fence, 2u);
}

TEST(home_test, sends_nothing_to_an_unresponsive_draining_or_failed_server) {
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.report("s1", replica_state::ready);
  fixture.now += milliseconds(2501);
  EXPECT_EQ(fixture.request("a").state, permit_state::queued);
  fixture.report("s1", replica_state::ready);
  EXPECT_EQ(fixture.take_granted(), names{"a"});
  fixture.h.on_suspected("s1", fixture.now);
  EXPECT_EQ(fixture.request("b").state, permit_state::queued);
  fixture.now += milliseconds(3000);
  fixture.report("s1", replica_state::ready, 4, 1, {}, true);
  EXPECT_TRUE(fixture.take_granted().empty())
      << "the server reported that it is draining";
  fixture.report("s1", replica_state::ready);
  EXPECT_EQ(fixture.take_granted(), names{"b"});
  fixture.h.on_draining("s1");
  fixture.report("s1", replica_state::ready);
  EXPECT_EQ(fixture.request("c").state, permit_state::queued);
}

TEST(home_test, resends_a_permit_when_the_waiting_entry_renews) {
  // Guards against a request that waits until its deadline beside an idle
  // replica because the message with its permit was lost.
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.request("a");
  fixture.report("s1", replica_state::ready);
  EXPECT_EQ(fixture.take_granted(), names{"a"});
  EXPECT_EQ(fixture.h.on_renewal({"a", "unknown"}), names{"unknown"});
  EXPECT_EQ(fixture.take_granted(), names{"a"});
  fixture.end_attempt("a", attempt_outcome::answered);
  EXPECT_EQ(fixture.h.on_renewal({"a"}), names{"a"});
}

TEST(home_test, runs_an_implicated_request_alone_and_quarantines_only_then) {
  // Guards against a harmless request being quarantined with a poison request
  // that ran on the same server. A crash implicates both; only a request that
  // crashes a server while it runs alone is quarantined.
  home_fixture fixture({}, {.replicas = 2, .max_replicas = 2});
  fixture.h.on_servers(target, {"s1", "s2"}, fixture.now);
  fixture.report("s1", replica_state::ready);
  ASSERT_EQ(fixture.request("bad.1", 30 * second, "bad").server, "s1");
  fixture.request("good.1", 30 * second, "good");
  fixture.end_attempt("bad.1", attempt_outcome::crashed, "s1", "bad");
  fixture.end_attempt("good.1", attempt_outcome::crashed, "s1", "good");
  EXPECT_TRUE(fixture.take<share_quarantine>().empty());
  fixture.report("s2", replica_state::ready);
  const auto retry = fixture.request("bad.2", 30 * second, "bad");
  EXPECT_EQ(retry.state, permit_state::granted);
  EXPECT_TRUE(retry.exclusive);
  EXPECT_EQ(fixture.request("good.2", 30 * second, "good").state,
            permit_state::queued);
  EXPECT_EQ(fixture.request("new").state, permit_state::queued)
      << "the implicated request runs alone";
  fixture.h.take_actions();
  fixture.end_attempt("bad.2", attempt_outcome::crashed, "s2", "bad");
  EXPECT_EQ(fixture.take<share_quarantine>(),
            std::vector<share_quarantine>{{"bad"}});
  EXPECT_EQ(fixture.request("bad.3", 30 * second, "bad").code,
            static_cast<int>(result_code::request_convicted));
  fixture.now += milliseconds(3001);
  fixture.report("s2", replica_state::ready);
  fixture.end_attempt("good.2", attempt_outcome::answered, "s2", "good");
  fixture.h.tick(fixture.now);
  EXPECT_EQ(fixture.h.crash_records().size(), 1u)
      << "a completed run clears the harmless one";
}

TEST(home_test, refuses_a_request_that_another_router_quarantined) {
  home_fixture fixture;
  fixture.h.on_quarantine("bad", fixture.now);
  EXPECT_EQ(fixture.request("a", second, "bad").state, permit_state::refused);
}

TEST(home_test, frees_a_slot_when_an_attempt_is_withdrawn) {
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.report("s1", replica_state::ready, 1);
  fixture.request("a");
  EXPECT_EQ(fixture.request("b").state, permit_state::queued);
  fixture.h.withdraw("a", fixture.now);
  fixture.h.tick(fixture.now);
  EXPECT_EQ(fixture.take_granted(), names{"b"});
  fixture.request("c");
  fixture.h.on_entry_lost({"10.0.0.1", 1}, fixture.now);
  EXPECT_EQ(fixture.h.waiting(), 0u);
}

TEST(home_test, expires_a_permit_some_time_after_its_deadline) {
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.report("s1", replica_state::ready, 1);
  fixture.request("a", second);
  fixture.now += milliseconds(4999);
  fixture.h.tick(fixture.now);
  EXPECT_EQ(fixture.h.outstanding_permits(), 1u);
  fixture.now += milliseconds(1);
  fixture.h.tick(fixture.now);
  EXPECT_EQ(fixture.h.outstanding_permits(), 0u);
}

TEST(home_test, ends_a_waiting_request_at_its_deadline) {
  home_fixture fixture;
  fixture.request("a", second);
  fixture.now += second;
  fixture.h.tick(fixture.now);
  const auto notifications = fixture.take<notify_entry>();
  ASSERT_EQ(notifications.size(), 1u);
  EXPECT_EQ(notifications[0].response.code,
            static_cast<int>(result_code::deadline_passed));
}

TEST(home_test,
     orders_a_lost_load_elsewhere_and_replaces_an_unresponsive_server) {
  home_fixture fixture({}, {.replicas = 2, .max_replicas = 2});
  fixture.h.on_servers(target, {}, fixture.now);
  const auto proactive = fixture.take<request_grants>();
  ASSERT_FALSE(proactive.empty());
  EXPECT_EQ(proactive[0].count, 2u);
  EXPECT_TRUE(proactive[0].is_proactive);
  fixture.h.on_servers(target, {"s1", "s2"}, fixture.now);
  fixture.report("s1", replica_state::cold);
  fixture.report("s2", replica_state::cold);
  fixture.request("a");
  const auto first = fixture.take<order_load>();
  ASSERT_EQ(first.size(), 1u);
  fixture.h.on_load_order_lost(first[0], fixture.now);
  const auto next = fixture.take<order_load>();
  ASSERT_EQ(next.size(), 1u);
  EXPECT_NE(next[0].server, first[0].server);
  fixture.now += milliseconds(5001);
  fixture.report("s2", replica_state::cold);
  fixture.h.tick(fixture.now);
  const auto replacement = fixture.take<request_grants>();
  ASSERT_FALSE(replacement.empty());
  EXPECT_EQ(replacement[0].count, 3u);
  EXPECT_FALSE(replacement[0].is_proactive);
  EXPECT_EQ(replacement[0].uncounted_servers, names{"s1"});
}

TEST(home_test, keeps_as_many_replicas_warm_as_the_catalog_sets) {
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.report("s1", replica_state::cold);
  EXPECT_TRUE(fixture.take<order_load>().empty());
  const profile_model warm{.name = "m", .bytes = 10, .warm = 1};
  fixture.h.on_catalog(catalog(2, {profile{.name = "p", .models = {warm}}}),
                       fixture.now);
  const auto loads = fixture.take<order_load>();
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_LT(loads[0].order.keep_warm_ms, 0);
  fixture.h.on_catalog(catalog(3, {}), fixture.now);
  EXPECT_FALSE(fixture.h.target(target)->spec);
}

TEST(home_test, loads_an_adapter_before_its_requests_run) {
  home_fixture fixture;
  fixture.h.on_servers(target, {"s1"}, fixture.now);
  fixture.report("s1", replica_state::ready);
  EXPECT_EQ(fixture.request("a", 30 * second, "", "x").state,
            permit_state::queued);
  fixture.request("b", 30 * second, "", "x");
  const auto loads = fixture.take<order_load>();
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_EQ(loads[0].order.adapter, "x");
  EXPECT_EQ(fixture.request("base").state, permit_state::granted);
  fixture.report("s1", replica_state::ready, 4, 1, {"x"});
  EXPECT_EQ(fixture.take_granted(), (names{"a", "b"}));
}

}  // namespace
}  // namespace boragehill::decide
