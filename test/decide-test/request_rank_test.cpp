#include "decide/request_rank.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(request_rank_test, puts_the_account_before_the_route) {
  const request_rank urgent_account{.account = 0, .route = 2};
  const request_rank urgent_route{.account = 1, .route = 0};
  EXPECT_LT(urgent_account, urgent_route);
  EXPECT_LT(urgent_account.server_priority(), urgent_route.server_priority());
}

TEST(request_rank_test, tells_servers_the_priority_of_the_route_alone) {
  for (int route = 0; route <= 9; ++route) {
    EXPECT_EQ((request_rank{.route = route}.server_priority()), route);
  }
}

TEST(request_rank_test, stays_within_what_servers_take) {
  EXPECT_EQ((request_rank{.account = 40, .route = 7}.server_priority()), 9);
  EXPECT_EQ((request_rank{.account = -3, .route = -1}.server_priority()), 0);
}

}  // namespace
}  // namespace boragehill::decide
