#include "decide/account_allowance.hpp"

#include <gtest/gtest.h>

namespace {

using namespace boragehill;
using namespace boragehill::decide;

constexpr quota_settings settings{};
constexpr double cost = 1200;

time_point at(int ms) {
  return time_point(milliseconds(100000 + ms));
}

account_allowance limited(double per_second = 4200, double burst = 4200) {
  account_allowance made(settings);
  made.set_limits({{.account = "a", .per_second = per_second, .burst = burst}});
  return made;
}

quota_grants granted(int made_ms, double tokens, int exhausted_ms = 0) {
  return {.round = 1,
          .report_made_at =
              std::chrono::floor<milliseconds>(at(made_ms).time_since_epoch()),
          .grants = {{.account = "a",
                      .tokens = tokens,
                      .exhausted_for = milliseconds(exhausted_ms)}}};
}

TEST(account_allowance_test, sends_what_was_granted_and_no_more) {
  auto quotas = limited();
  EXPECT_FALSE(quotas.may_spend("a", cost, at(0)));
  quotas.on_grants(granted(0, 2 * cost), at(10));
  for (int each = 0; each < 2; ++each) {
    ASSERT_TRUE(quotas.may_spend("a", cost, at(20)));
    quotas.spend("a", cost, at(20));
  }
  EXPECT_FALSE(quotas.may_spend("a", cost, at(20)));
}

TEST(account_allowance_test, an_account_without_a_quota_spends_freely) {
  auto quotas = limited();
  EXPECT_FALSE(quotas.is_limited("b"));
  EXPECT_TRUE(quotas.may_spend("b", 1e9, at(0)));
}

// Guards against tokens that add up while an account is idle.
TEST(account_allowance_test, unspent_tokens_expire) {
  auto quotas = limited();
  quotas.on_grants(granted(0, cost), at(10));
  EXPECT_TRUE(quotas.may_spend("a", cost, at(699)));
  EXPECT_FALSE(quotas.may_spend("a", cost, at(700)));
}

// Guards against a process that stood still and takes old tokens for new ones.
TEST(account_allowance_test, tokens_that_lay_unread_have_expired) {
  auto quotas = limited();
  quotas.on_grants(granted(0, cost), at(5000));
  EXPECT_FALSE(quotas.may_spend("a", cost, at(5000)));
}

TEST(account_allowance_test, a_send_that_no_server_has_run_costs_nothing) {
  auto quotas = limited();
  quotas.on_grants(granted(0, cost), at(10));
  const auto charge = quotas.spend("a", cost, at(20));
  EXPECT_FALSE(quotas.may_spend("a", cost, at(30)));
  quotas.refund(charge, at(30));
  EXPECT_TRUE(quotas.may_spend("a", cost, at(30)));
  EXPECT_FALSE(quotas.may_spend("a", cost, at(700)));
}

// Guards against tokens of the local share that are kept as granted ones for
// longer than a grant.
TEST(account_allowance_test, a_refund_of_the_local_share_expires_like_a_grant) {
  auto quotas = limited();
  quotas.on_planner_lost(1, 0, at(0));
  const auto charge = quotas.spend("a", cost, at(10));
  quotas.on_grants(granted(20, 0), at(20));
  quotas.refund(charge, at(30));
  EXPECT_TRUE(quotas.may_spend("a", cost, at(30)));
  EXPECT_FALSE(quotas.may_spend("a", cost, at(710)));
}

TEST(account_allowance_test, asks_for_what_waiting_requests_lack) {
  auto quotas = limited();
  quotas.on_grants(granted(0, 500), at(10));
  const auto told = quotas.report(
      {{.account = "a", .waiting = 2 * cost, .first = cost}}, 31, at(20));
  ASSERT_EQ(told.needs.size(), 1U);
  EXPECT_EQ(told.needs[0].waiting, 2 * cost - 500);
  EXPECT_EQ(told.needs[0].first, cost - 500);
  EXPECT_EQ(told.last_round, 1U);
  EXPECT_EQ(told.known_routers, 31);
}

// Guards against the requests of a busy account waiting for a round trip each,
// and against those of a quiet one wasting its quota.
TEST(account_allowance_test, only_a_steady_account_gets_tokens_ahead) {
  auto quotas = limited(280000, 280000);
  quotas.on_grants(granted(0, 4 * cost), at(10));
  quotas.spend("a", cost, at(20));
  EXPECT_EQ(quotas.report({}, 31, at(30)).needs.size(), 0U);
  for (int each = 0; each < 3; ++each) quotas.spend("a", cost, at(40));
  const auto told = quotas.report({}, 31, at(50));
  ASSERT_EQ(told.needs.size(), 1U);
  EXPECT_EQ(told.needs[0].ahead, 4 * cost);
  EXPECT_TRUE(quotas.report({}, 31, at(500)).needs.empty());
}

TEST(account_allowance_test, rejects_at_once_what_cannot_have_tokens_in_time) {
  auto quotas = limited();
  quotas.on_grants(granted(0, 0, 2000), at(10));
  const quota_request asked{
      .account = "a", .cost = cost, .patience = milliseconds(100)};
  const auto decided = quotas.decide(asked, 0, at(20));
  const auto* rejected = std::get_if<quota_rejection>(&decided);
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->retry_after, milliseconds(1990));
  auto patient = asked;
  patient.patience = milliseconds(3000);
  EXPECT_EQ(quotas.decide(patient, 0, at(20)), quota_decision(quota_wait()));
}

// Guards against a refill that nobody uses, since all that could was rejected.
TEST(account_allowance_test, asks_again_soon_after_a_quota_was_exhausted) {
  auto quotas = limited();
  quotas.on_grants(granted(0, 0, 2000), at(10));
  const quota_request asked{
      .account = "a", .cost = cost, .patience = milliseconds(100)};
  EXPECT_EQ(quotas.decide(asked, 0, at(150)), quota_decision(quota_wait()));
}

// Guards against rejected requests that all come back for the same tokens.
TEST(account_allowance_test, rejected_requests_come_back_as_the_quota_refills) {
  auto quotas = limited();
  quotas.report({}, 1, at(0));
  quotas.on_grants(granted(0, 0, 500), at(10));
  const quota_request asked{
      .account = "a", .cost = 2100, .patience = milliseconds(100)};
  const auto retry_after = [&] {
    const auto decided = quotas.decide(asked, 0, at(20));
    quotas.on_rejected(asked, at(20));
    return std::get<quota_rejection>(decided).retry_after.count();
  };
  // 2,100 of 4,200 tokens a second: half a second each.
  EXPECT_EQ(retry_after(), 490);
  EXPECT_EQ(retry_after(), 990);
  EXPECT_EQ(retry_after(), 1490);
}

TEST(account_allowance_test, spends_its_share_without_a_planner) {
  auto quotas = limited(31000, 31000);
  quotas.on_planner_lost(31, 0, at(0));
  EXPECT_TRUE(quotas.is_local());
  int sent = 0;
  for (int ms = 0; ms < 8000; ms += 10) {
    if (!quotas.may_spend("a", 100, at(ms))) continue;
    quotas.spend("a", 100, at(ms));
    ++sent;
  }
  // 1,000 a second, and a part of the slack: 0.3 x 17,000 / 31.
  EXPECT_GE(sent, 80);
  EXPECT_LE(sent, 83);
}

TEST(account_allowance_test, a_router_that_knows_no_others_spends_nothing) {
  auto quotas = limited();
  quotas.on_planner_lost(std::nullopt, 0, at(0));
  EXPECT_FALSE(quotas.may_spend("a", 1, at(1000)));
}

// Guards against a share that the planner has given to others by then.
TEST(account_allowance_test,
     the_share_ends_before_the_planner_stops_reserving) {
  auto quotas = limited();
  quotas.on_planner_lost(31, 0, at(0));
  EXPECT_TRUE(quotas.may_spend("a", 1, at(44999)));
  EXPECT_FALSE(quotas.may_spend("a", 1, at(45000)));
}

TEST(account_allowance_test, grants_of_the_next_planner_end_the_local_share) {
  auto quotas = limited();
  quotas.on_planner_lost(31, 0, at(0));
  quotas.on_grants({}, at(10));
  EXPECT_TRUE(quotas.is_local());
  quotas.on_grants(granted(20, 0), at(30));
  EXPECT_FALSE(quotas.is_local());
  EXPECT_FALSE(quotas.may_spend("a", 1, at(40)));
}

}  // namespace
