#include "decide/windowed_retry_budget.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

const time_point start{std::chrono::seconds(100)};

TEST(windowed_retry_budget_test, bounds_retries_of_all_routers_in_any_window) {
  // A fault fails every attempt: four routers with uneven traffic each retry as
  // much as they may. Together they stay within the bound in every window.
  const windowed_retry_budget_settings settings{.retries_per_request = 0.2,
                                                .constant_retries = 50};
  std::vector<windowed_retry_budget> routers(4,
                                             windowed_retry_budget(settings));
  std::vector<int> requests(40);
  std::vector<int> retries(40);
  for (int second = 0; second < 40; ++second) {
    const auto now = start + std::chrono::seconds(second);
    for (std::size_t index = 0; index < routers.size(); ++index) {
      for (std::size_t count = 0; count < 5 * (index + 1); ++count) {
        routers[index].on_request(now);
        ++requests[second];
        while (routers[index].take_retry(now, 4)) ++retries[second];
      }
    }
  }
  for (int from = 0; from + 10 <= 40; ++from) {
    int request_count = 0;
    int retry_count = 0;
    for (int second = from; second < from + 10; ++second) {
      request_count += requests[second];
      retry_count += retries[second];
    }
    EXPECT_LE(retry_count, 0.2 * request_count + 50) << from;
  }
  EXPECT_GT(retries[39], 0);
}

TEST(windowed_retry_budget_test, allows_retries_again_after_the_window) {
  windowed_retry_budget budget(
      {.retries_per_request = 0, .constant_retries = 10});
  while (budget.take_retry(start, 1)) continue;
  EXPECT_FALSE(budget.take_retry(start + std::chrono::seconds(9), 1));
  EXPECT_TRUE(budget.take_retry(start + std::chrono::seconds(11), 1));
}

}  // namespace
}  // namespace boragehill::decide
