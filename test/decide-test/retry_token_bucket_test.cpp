#include "decide/retry_token_bucket.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(retry_token_bucket_test, bounds_retries_when_every_attempt_fails) {
  // A fault fails every attempt, and each failure leads to a retry. Without a
  // budget the load doubles and delays requests to healthy servers.
  retry_token_bucket bucket(0.1, 5.0);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    bucket.on_first_attempt();
    while (bucket.take_retry()) retries += 1;
  }
  EXPECT_GE(retries, 100);
  EXPECT_LE(retries, 105);
}

TEST(retry_token_bucket_test, holds_at_most_its_capacity) {
  retry_token_bucket bucket(1.0, 2.0);
  for (int i = 0; i < 100; ++i) bucket.on_first_attempt();
  EXPECT_TRUE(bucket.take_retry());
  EXPECT_TRUE(bucket.take_retry());
  EXPECT_FALSE(bucket.take_retry());
}

}  // namespace
}  // namespace boragehill::decide
