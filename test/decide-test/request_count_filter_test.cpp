#include "decide/request_count_filter.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(request_count_filter_test, reports_only_changes_that_affect_the_choice) {
  EXPECT_FALSE(is_significant_change(0, 2));
  EXPECT_TRUE(is_significant_change(0, 3));
  EXPECT_FALSE(is_significant_change(20, 23));
  EXPECT_TRUE(is_significant_change(20, 25));
  EXPECT_TRUE(is_significant_change(20, 15));
  EXPECT_TRUE(is_significant_change(5, 0));
}

TEST(request_count_filter_test, reports_few_changes_under_steady_load) {
  // The number of requests at a worker varies in steps of one around a steady
  // load.
  int reported = 10;
  int report_count = 0;
  int requests = 10;
  for (int step = 0; step < 1000; ++step) {
    requests += step % 4 < 2 ? 1 : -1;
    if (!is_significant_change(reported, requests)) continue;
    reported = requests;
    ++report_count;
  }
  EXPECT_LT(report_count, 20);
}

TEST(request_count_filter_test, reports_that_a_worker_became_full) {
  // Routers that don't know it all send one more request.
  constexpr double full_at = 20;
  EXPECT_TRUE(is_significant_change(19, 20, full_at));
  EXPECT_FALSE(is_significant_change(17, 19, full_at));
  EXPECT_FALSE(is_significant_change(20, 19, full_at));
  EXPECT_TRUE(is_significant_change(20, 15, full_at));
}

}  // namespace
}  // namespace boragehill::decide
