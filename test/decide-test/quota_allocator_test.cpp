#include "decide/quota_allocator.hpp"

#include <gtest/gtest.h>

namespace {

using namespace boragehill;
using namespace boragehill::decide;

constexpr quota_settings settings{.slack = 0};

time_point at(int ms) {
  return time_point(milliseconds(100000 + ms));
}

quota_allocator started(double per_second, double burst) {
  quota_allocator made(settings);
  made.start(at(-10000));
  made.set_limits({{.account = "a", .per_second = per_second, .burst = burst}},
                  at(-10000));
  made.grant(at(-10000));
  return made;
}

quota_report waits_for(double tokens, double first, int routers = 1) {
  return {.known_routers = routers,
          .needs = {{.account = "a", .waiting = tokens, .first = first}}};
}

double tokens_of(const quota_allocator::grant_map& granted,
                 const std::string& router) {
  const auto found = granted.find(router);
  if (found == granted.end()) return 0;
  double tokens = 0;
  for (const auto& each : found->second.grants) tokens += each.tokens;
  return tokens;
}

TEST(quota_allocator_test, grants_what_is_needed_up_to_the_burst) {
  auto quotas = started(1000, 500);
  quotas.on_report("r1", waits_for(300, 100), at(0));
  EXPECT_EQ(tokens_of(quotas.grant(at(1000)), "r1"), 300);
}

// Guards against tokens that are split into parts of which none is enough for a
// request, and expire.
TEST(quota_allocator_test, grants_no_less_than_a_request_costs) {
  auto quotas = started(1000, 1000);
  quotas.on_report("r1", waits_for(1000, 1000), at(0));
  quotas.grant(at(1000));
  quotas.on_report("r1", {.last_round = 99, .known_routers = 2}, at(1000));
  quotas.on_report("r2", waits_for(800, 400, 2), at(1000));
  EXPECT_EQ(tokens_of(quotas.grant(at(1300)), "r2"), 0);
  EXPECT_EQ(tokens_of(quotas.grant(at(1400)), "r2"), 400);
}

TEST(quota_allocator_test, tells_until_when_a_quota_is_exhausted) {
  auto quotas = started(1000, 1000);
  quotas.on_report("r1", waits_for(3000, 1000), at(0));
  const auto granted = quotas.grant(at(5000));
  ASSERT_EQ(granted.at("r1").grants.size(), 1U);
  EXPECT_EQ(granted.at("r1").grants[0].tokens, 1000);
  EXPECT_EQ(granted.at("r1").grants[0].exhausted_for, milliseconds(2000));
}

// Guards against a router with many requests that gets all tokens.
TEST(quota_allocator_test, routers_take_turns) {
  auto quotas = started(1000, 1000);
  quotas.on_report("r1", waits_for(100000, 1000), at(0));
  quotas.on_report("r2", waits_for(1000, 1000), at(0));
  int first = 0;
  int second = 0;
  for (int second_of_time = 1; second_of_time <= 4; ++second_of_time) {
    const auto now = at(1000 * second_of_time);
    const auto granted = quotas.grant(now);
    first += tokens_of(granted, "r1") > 0;
    second += tokens_of(granted, "r2") > 0;
    quotas.on_report(
        "r1", {.last_round = 99, .needs = waits_for(100000, 1000).needs}, now);
    quotas.on_report(
        "r2", {.last_round = 99, .needs = waits_for(1000, 1000).needs}, now);
  }
  EXPECT_EQ(first, 2);
  EXPECT_EQ(second, 2);
}

// Guards against a need that is granted again while its tokens are on their
// way.
TEST(quota_allocator_test, allows_for_grants_that_a_report_does_not_know) {
  auto quotas = started(10000, 10000);
  quotas.on_report("r1", waits_for(300, 100), at(0));
  quotas.grant(at(0));
  quotas.on_report("r1", waits_for(400, 100), at(2));
  EXPECT_EQ(tokens_of(quotas.grant(at(8)), "r1"), 100);
}

TEST(quota_allocator_test, a_grant_that_was_lost_is_granted_again) {
  auto quotas = started(10000, 10000);
  quotas.on_report("r1", waits_for(300, 100), at(0));
  quotas.grant(at(0));
  quotas.on_report("r1", waits_for(300, 100), at(400));
  EXPECT_EQ(tokens_of(quotas.grant(at(400)), "r1"), 300);
}

// Guards against grants of two planners that add up.
TEST(quota_allocator_test, a_new_planner_waits_until_earlier_grants_expired) {
  quota_allocator quotas(settings);
  quotas.start(at(0));
  quotas.set_limits({{.account = "a", .per_second = 1000, .burst = 1000}},
                    at(0));
  quotas.on_report("r1", waits_for(100, 100), at(100));
  EXPECT_TRUE(quotas.grant(at(699)).empty());
  EXPECT_EQ(quotas.grant(at(700)).at("r1").round, 1U);
  EXPECT_EQ(tokens_of(quotas.grant(at(800)), "r1"), 100);
}

// Guards against a share that is spent twice: by the routers that the planner
// reaches and by those that are cut off and spend their own.
TEST(quota_allocator_test, reserves_the_shares_of_routers_that_it_lost) {
  auto quotas = started(1000, 1000);
  quotas.on_report("r1", waits_for(2000, 100, 2), at(0));
  quotas.on_report("r2", {.known_routers = 2}, at(0));
  quotas.on_router_removed("r2", at(0));
  EXPECT_EQ(tokens_of(quotas.grant(at(0)), "r1"), 500);
  quotas.on_report("r1",
                   {.last_round = 99, .needs = waits_for(2000, 100, 2).needs},
                   at(1000));
  EXPECT_EQ(tokens_of(quotas.grant(at(1000)), "r1"), 500);
  quotas.grant(at(60000));
  quotas.on_report("r1",
                   {.last_round = 99, .needs = waits_for(2000, 100, 2).needs},
                   at(62000));
  EXPECT_EQ(tokens_of(quotas.grant(at(62000)), "r1"), 1000);
}

TEST(quota_allocator_test, a_new_planner_reserves_for_routers_it_has_not_seen) {
  quota_allocator quotas(settings);
  quotas.start(at(0));
  quotas.set_limits({{.account = "a", .per_second = 1000, .burst = 1000}},
                    at(0));
  quotas.on_report("r1", waits_for(5000, 100, 4), at(0));
  quotas.grant(at(700));
  EXPECT_EQ(tokens_of(quotas.grant(at(1700)), "r1"), 250);
}

TEST(quota_allocator_test, tokens_ahead_leave_half_for_waiting_requests) {
  auto quotas = started(1000, 1000);
  quotas.on_report("r1", {.needs = {{.account = "a", .ahead = 5000}}}, at(0));
  EXPECT_EQ(tokens_of(quotas.grant(at(0)), "r1"), 500);
}

TEST(quota_allocator_test, a_request_beyond_the_burst_goes_with_a_full_bucket) {
  auto quotas = started(1000, 1000);
  quotas.on_report("r1", waits_for(1500, 1500), at(0));
  EXPECT_EQ(tokens_of(quotas.grant(at(0)), "r1"), 1500);
}

// Guards against a lowered limit that takes effect only when a full bucket is
// spent.
TEST(quota_allocator_test, a_lowered_limit_holds_at_once) {
  auto quotas = started(10000, 10000);
  quotas.on_report("r1", waits_for(9000, 100), at(0));
  quotas.set_limits({{.account = "a", .per_second = 100, .burst = 200}}, at(0));
  EXPECT_EQ(tokens_of(quotas.grant(at(0)), "r1"), 200);
}

}  // namespace
