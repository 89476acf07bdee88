#include "decide/windowed_retry_budget.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

const time_point begin{std::chrono::seconds(100)};

TEST(send_budget_test, bounds_repeats_of_all_routers_together_in_any_window) {
  // A fault fails every attempt: four routers with uneven traffic each retry as
  // much as they may. Together they stay within the bound in every window.
  const windowed_retry_budget_settings settings{.retries_per_request = 0.2,
                                                .constant_retries = 50};
  std::vector<windowed_retry_budget> routers(4,
                                             windowed_retry_budget(settings));
  std::vector<int> requests(40);
  std::vector<int> repeats(40);
  for (int second = 0; second < 40; ++second) {
    const auto now = begin + std::chrono::seconds(second);
    for (std::size_t which = 0; which < routers.size(); ++which) {
      for (std::size_t count = 0; count < 5 * (which + 1); ++count) {
        routers[which].on_request(now);
        ++requests[second];
        while (routers[which].take_retry(now, 4)) ++repeats[second];
      }
    }
  }
  for (int from = 0; from + 10 <= 40; ++from) {
    int asked = 0;
    int repeated = 0;
    for (int second = from; second < from + 10; ++second) {
      asked += requests[second];
      repeated += repeats[second];
    }
    EXPECT_LE(repeated, 0.2 * asked + 50) << from;
  }
  EXPECT_GT(repeats[39], 0);
}

TEST(send_budget_test, is_there_again_after_the_window) {
  windowed_retry_budget budget(
      {.retries_per_request = 0, .constant_retries = 10});
  while (budget.take_retry(begin, 1)) continue;
  EXPECT_FALSE(budget.take_retry(begin + std::chrono::seconds(9), 1));
  EXPECT_TRUE(budget.take_retry(begin + std::chrono::seconds(11), 1));
}

}  // namespace
}  // namespace boragehill::decide
