#include "decide/keep_warm.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

constexpr milliseconds load_time{30000};

TEST(keep_warm_test, break_even_time_equals_the_weighted_load_time) {
  const break_even_rule rule{.cold_start_weight = 4, .idle_weight = 2};
  EXPECT_EQ(keep_warm_time(rule, load_time, {}), 2 * load_time);
}

TEST(keep_warm_test, break_even_time_is_at_most_a_day) {
  const break_even_rule rule{.cold_start_weight = 1, .idle_weight = 0};
  EXPECT_EQ(keep_warm_time(rule, load_time, {}), std::chrono::hours(24));
}

TEST(keep_warm_test, fixed_timer_ignores_the_load_time) {
  EXPECT_EQ(keep_warm_time(fixed_timer_rule{milliseconds(7)}, load_time, {}),
            milliseconds(7));
}

TEST(keep_warm_test, histogram_rule_returns_its_quantile_of_the_gaps) {
  gap_histogram gaps;
  for (int i = 0; i < 9; ++i) gaps.add(milliseconds(900));
  gaps.add(std::chrono::hours(2));
  const histogram_rule rule{.quantile = 0.9,
                            .max_keep_warm = std::chrono::hours(1)};
  EXPECT_EQ(keep_warm_time(rule, load_time, gaps), milliseconds(1024));
  EXPECT_EQ(keep_warm_time(rule, load_time, {}), std::chrono::hours(1));
}

TEST(keep_warm_test, negative_keep_warm_time_never_expires) {
  const time_point much_later = time_point(std::chrono::hours(1000));
  EXPECT_FALSE(is_past_keep_warm(milliseconds(-1), time_point{}, much_later));
  EXPECT_TRUE(
      is_past_keep_warm(load_time, time_point{}, time_point(load_time)));
  EXPECT_FALSE(is_past_keep_warm(load_time, time_point{},
                                 time_point(load_time - milliseconds(1))));
}

}  // namespace
}  // namespace boragehill::decide
