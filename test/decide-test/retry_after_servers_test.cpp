#include "decide/retry_after_servers.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using std::chrono::seconds;

const time_point begin{seconds(100)};

TEST(resting_servers_test, rests_until_the_end) {
  retry_after_servers resting;
  EXPECT_EQ(resting.until("i-1", begin), std::nullopt);
  EXPECT_TRUE(resting.on_retry_after("i-1", begin + seconds(3), begin));
  EXPECT_EQ(resting.until("i-1", begin + milliseconds(2999)),
            begin + seconds(3));
  EXPECT_EQ(resting.until("i-1", begin + seconds(3)), std::nullopt);
  EXPECT_EQ(resting.until("i-2", begin), std::nullopt);
}

TEST(resting_servers_test, is_not_cut_short_by_a_later_answer) {
  // Guards against responses to requests that were in flight when the period
  // began.
  retry_after_servers resting;
  resting.on_retry_after("i-1", begin + seconds(3), begin);
  EXPECT_FALSE(resting.on_retry_after("i-1", begin + seconds(1), begin));
  EXPECT_EQ(resting.until("i-1", begin), begin + seconds(3));
  EXPECT_FALSE(resting.on_retry_after("i-1", begin + seconds(4), begin));
  EXPECT_EQ(resting.until("i-1", begin), begin + seconds(4));
}

TEST(resting_servers_test, may_rest_again) {
  retry_after_servers resting;
  resting.on_retry_after("i-1", begin + seconds(3), begin);
  const auto later = begin + seconds(5);
  EXPECT_TRUE(resting.on_retry_after("i-1", later + seconds(1), later));
  EXPECT_EQ(resting.until("i-1", later), later + seconds(1));
}

TEST(resting_servers_test, is_asked_once_in_each_rest) {
  // Guards against requests that hang at a server that stalls during its
  // retry-after period.
  retry_after_servers resting;
  EXPECT_TRUE(resting.claim_probe("i-1", begin));
  resting.on_retry_after("i-1", begin + seconds(3), begin);
  EXPECT_TRUE(resting.claim_probe("i-1", begin));
  EXPECT_FALSE(resting.claim_probe("i-1", begin + seconds(1)));
  EXPECT_TRUE(resting.claim_probe("i-1", begin + seconds(3)));
  resting.on_retry_after("i-1", begin + seconds(9), begin + seconds(4));
  EXPECT_TRUE(resting.claim_probe("i-1", begin + seconds(4)));
  EXPECT_FALSE(resting.claim_probe("i-1", begin + seconds(5)));
}

TEST(resting_servers_test, forgets_rests_that_are_over) {
  // Guards against memory use that grows with every server that ever sent
  // Retry-After.
  retry_after_servers resting;
  resting.on_retry_after("i-1", begin + seconds(3), begin);
  EXPECT_FALSE(resting.drop_expired(begin + seconds(2)));
  EXPECT_FALSE(resting.empty());
  EXPECT_TRUE(resting.drop_expired(begin + seconds(3)));
  EXPECT_TRUE(resting.empty());
  EXPECT_FALSE(resting.drop_expired(begin + seconds(4)));
}

}  // namespace
}  // namespace boragehill::decide
