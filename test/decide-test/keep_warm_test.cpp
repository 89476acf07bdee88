#include "decide/keep_warm.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

constexpr milliseconds load{30000};

TEST(keep_warm_test, breaks_even_where_idle_time_has_cost_another_load) {
  const break_even_rule rule{.cold_start_weight = 4, .idle_weight = 2};
  EXPECT_EQ(keep_warm_time(rule, load, {}), 2 * load);
}

TEST(keep_warm_test, breaks_even_within_a_day_when_idle_time_costs_nothing) {
  const break_even_rule rule{.cold_start_weight = 1, .idle_weight = 0};
  EXPECT_EQ(keep_warm_time(rule, load, {}), std::chrono::hours(24));
}

TEST(keep_warm_test, fixed_timer_ignores_the_load_time) {
  EXPECT_EQ(keep_warm_time(fixed_timer_rule{milliseconds(7)}, load, {}),
            milliseconds(7));
}

TEST(keep_warm_test, histogram_covers_its_share_of_the_gaps) {
  gap_histogram gaps;
  for (int i = 0; i < 9; ++i) gaps.add(milliseconds(900));
  gaps.add(std::chrono::hours(2));
  const histogram_rule rule{.quantile = 0.9,
                            .max_keep_warm = std::chrono::hours(1)};
  EXPECT_EQ(keep_warm_time(rule, load, gaps), milliseconds(1024));
  EXPECT_EQ(keep_warm_time(rule, load, {}), std::chrono::hours(1));
}

TEST(keep_warm_test, a_negative_time_never_passes) {
  const time_point late = time_point(std::chrono::hours(1000));
  EXPECT_FALSE(is_past_keep_warm(milliseconds(-1), time_point{}, late));
  EXPECT_TRUE(is_past_keep_warm(load, time_point{}, time_point(load)));
  EXPECT_FALSE(is_past_keep_warm(load, time_point{},
                                 time_point(load - milliseconds(1))));
}

}  // namespace
}  // namespace boragehill::decide
