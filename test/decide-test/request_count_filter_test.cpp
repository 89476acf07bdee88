#include "decide/request_count_filter.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(view_filter_test, tells_only_what_changes_a_choice) {
  EXPECT_FALSE(is_significant_change(0, 2));
  EXPECT_TRUE(is_significant_change(0, 3));
  EXPECT_FALSE(is_significant_change(20, 23));
  EXPECT_TRUE(is_significant_change(20, 25));
  EXPECT_TRUE(is_significant_change(20, 15));
  EXPECT_TRUE(is_significant_change(5, 0));
}

TEST(view_filter_test, a_busy_fleet_tells_a_fraction_of_its_changes) {
  // The number of requests at a worker varies in steps of one around a steady
  // load.
  int told = 10;
  int news = 0;
  int requests = 10;
  for (int step = 0; step < 1000; ++step) {
    requests += step % 4 < 2 ? 1 : -1;
    if (!is_significant_change(told, requests)) continue;
    told = requests;
    ++news;
  }
  EXPECT_LT(news, 20);
}

}  // namespace
}  // namespace boragehill::decide
