#include "decide/retry_token_bucket.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(retry_budget_test, bounds_retries_when_every_attempt_fails) {
  // A fault fails every attempt, and each failure leads to a retry. Without a
  // budget the load doubles and delays requests to healthy servers.
  retry_token_bucket budget(0.1, 5.0);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.on_first_attempt();
    while (budget.take_retry()) retries += 1;
  }
  EXPECT_GE(retries, 100);
  EXPECT_LE(retries, 105);
}

TEST(retry_budget_test, keeps_no_more_than_its_burst) {
  retry_token_bucket budget(1.0, 2.0);
  for (int i = 0; i < 100; ++i) budget.on_first_attempt();
  EXPECT_TRUE(budget.take_retry());
  EXPECT_TRUE(budget.take_retry());
  EXPECT_FALSE(budget.take_retry());
}

}  // namespace
}  // namespace boragehill::decide
