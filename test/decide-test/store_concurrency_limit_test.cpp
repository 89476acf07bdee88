#include "decide/store_concurrency_limit.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace boragehill::decide {
namespace {

constexpr milliseconds usual{13200};

/// Simulates a store that serves `full` loads at full speed, with as many loads
/// as the limit allows, all started together.
milliseconds play_round(store_concurrency_limit& pace, int full,
                        time_point& now) {
  const int loads = pace.limit();
  const double factor = std::max(1.0, static_cast<double>(loads) / full);
  const auto took = std::chrono::duration_cast<milliseconds>(usual * factor);
  now += took;
  for (int each = 0; each < loads; ++each) {
    pace.on_load_finished(usual, took, loads, now);
  }
  return took;
}

TEST(store_pace_test, finds_a_store_that_serves_one_at_a_time) {
  // The workers of a fleet are replaced, and the store serves one load at full
  // speed. Four concurrent loads took 53 s each, and no caller was served
  // meanwhile.
  store_concurrency_limit pace(2);
  time_point now{std::chrono::hours(1)};
  play_round(pace, 1, now);
  EXPECT_EQ(pace.limit(), 1);
  EXPECT_EQ(play_round(pace, 1, now), usual);
  EXPECT_EQ(play_round(pace, 1, now), usual);
  EXPECT_EQ(pace.limit(), 1);
}

TEST(store_pace_test, finds_a_store_that_serves_four) {
  store_concurrency_limit pace(2);
  time_point now{std::chrono::hours(1)};
  play_round(pace, 4, now);
  EXPECT_EQ(pace.limit(), 3);
  play_round(pace, 4, now);
  EXPECT_EQ(pace.limit(), 4);
  for (int round = 0; round < 4; ++round) play_round(pace, 4, now);
  EXPECT_GE(pace.limit(), 4);
  EXPECT_LE(pace.limit(), 5);
}

TEST(store_pace_test, tries_more_again_after_a_while) {
  store_concurrency_limit pace(2);
  time_point now{std::chrono::hours(1)};
  play_round(pace, 1, now);
  ASSERT_EQ(pace.limit(), 1);
  now += store_concurrency_limit::raise_retry_interval;
  play_round(pace, 4, now);
  EXPECT_EQ(pace.limit(), 2);
}

TEST(store_pace_test, takes_a_slow_load_alone_for_no_proof) {
  // A worker starts an order seconds late. Its load is slow for a reason other
  // than the store.
  store_concurrency_limit pace(1);
  pace.on_load_finished(usual, usual * 3, 1, time_point(std::chrono::hours(1)));
  EXPECT_EQ(pace.limit(), 1);
  store_concurrency_limit wide(4);
  wide.on_load_finished(usual, usual * 3, 1, time_point(std::chrono::hours(1)));
  EXPECT_EQ(wide.limit(), 4);
}

TEST(store_pace_test, learns_nothing_from_few_loads) {
  store_concurrency_limit pace(4);
  pace.on_load_finished(usual, usual, 1.5, time_point(std::chrono::hours(1)));
  EXPECT_EQ(pace.limit(), 4);
}

}  // namespace
}  // namespace boragehill::decide
