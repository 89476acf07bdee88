#include "decide/retry_after_servers.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using std::chrono::seconds;

const time_point begin{seconds(100)};

TEST(retry_after_servers_test, returns_the_end_during_the_period_only) {
  retry_after_servers servers;
  EXPECT_EQ(servers.until("i-1", begin), std::nullopt);
  EXPECT_TRUE(servers.on_retry_after("i-1", begin + seconds(3), begin));
  EXPECT_EQ(servers.until("i-1", begin + milliseconds(2999)),
            begin + seconds(3));
  EXPECT_EQ(servers.until("i-1", begin + seconds(3)), std::nullopt);
  EXPECT_EQ(servers.until("i-2", begin), std::nullopt);
}

TEST(retry_after_servers_test, a_later_response_does_not_shorten_the_period) {
  // Guards against responses to requests that were in flight when the period
  // began.
  retry_after_servers servers;
  servers.on_retry_after("i-1", begin + seconds(3), begin);
  EXPECT_FALSE(servers.on_retry_after("i-1", begin + seconds(1), begin));
  EXPECT_EQ(servers.until("i-1", begin), begin + seconds(3));
  EXPECT_FALSE(servers.on_retry_after("i-1", begin + seconds(4), begin));
  EXPECT_EQ(servers.until("i-1", begin), begin + seconds(4));
}

TEST(retry_after_servers_test, a_new_period_may_start_after_the_end) {
  retry_after_servers servers;
  servers.on_retry_after("i-1", begin + seconds(3), begin);
  const auto later = begin + seconds(5);
  EXPECT_TRUE(servers.on_retry_after("i-1", later + seconds(1), later));
  EXPECT_EQ(servers.until("i-1", later), later + seconds(1));
}

TEST(retry_after_servers_test, allows_one_probe_per_period) {
  // Guards against requests that hang at a server that stalls during its
  // retry-after period.
  retry_after_servers servers;
  EXPECT_TRUE(servers.claim_probe("i-1", begin));
  servers.on_retry_after("i-1", begin + seconds(3), begin);
  EXPECT_TRUE(servers.claim_probe("i-1", begin));
  EXPECT_FALSE(servers.claim_probe("i-1", begin + seconds(1)));
  EXPECT_TRUE(servers.claim_probe("i-1", begin + seconds(3)));
  servers.on_retry_after("i-1", begin + seconds(9), begin + seconds(4));
  EXPECT_TRUE(servers.claim_probe("i-1", begin + seconds(4)));
  EXPECT_FALSE(servers.claim_probe("i-1", begin + seconds(5)));
}

TEST(retry_after_servers_test, drops_expired_periods) {
  // Guards against memory use that grows with every server that ever sent
  // Retry-After.
  retry_after_servers servers;
  servers.on_retry_after("i-1", begin + seconds(3), begin);
  EXPECT_FALSE(servers.drop_expired(begin + seconds(2)));
  EXPECT_FALSE(servers.empty());
  EXPECT_TRUE(servers.drop_expired(begin + seconds(3)));
  EXPECT_TRUE(servers.empty());
  EXPECT_FALSE(servers.drop_expired(begin + seconds(4)));
}

}  // namespace
}  // namespace boragehill::decide
