#include "decide/server_load.hpp"

#include <gtest/gtest.h>

namespace {

using namespace boragehill;
using namespace boragehill::decide;

time_point at(int ms) {
  return time_point(milliseconds(100000 + ms));
}

TEST(server_load_test, counts_only_what_other_routers_have_there) {
  server_load load;
  EXPECT_FALSE(load.has_pace());
  load.on_figures({.running = 7, .waiting = 2}, 3, at(0));
  EXPECT_TRUE(load.has_pace());
  EXPECT_EQ(load.other_requests(at(50)), 6);
}

// Guards against old figures that outlive the planner's news.
TEST(server_load_test, figures_older_than_the_planners_do_not_count) {
  server_load load;
  load.on_figures({.running = 7}, 3, at(0));
  EXPECT_EQ(load.other_requests(at(100)), 4);
  EXPECT_FALSE(load.other_requests(at(101)));
}

// Guards against a choice that follows each of many figures a second.
TEST(server_load_test, a_pace_that_changes_all_the_time_is_smoothed) {
  server_load load;
  for (int ms = 0; ms <= 3000; ms += 50) {
    load.on_figures({.pace = ms % 100 == 0 ? 0.6 : 1.6}, 0, at(ms));
    if (ms < 1000) continue;
    EXPECT_GT(load.pace(at(ms)), 0.9);
    EXPECT_LT(load.pace(at(ms)), 1.3);
  }
}

TEST(server_load_test, a_server_that_is_slow_for_a_moment_recovers) {
  server_load load;
  for (int ms = 0; ms < 20000; ms += 100) {
    load.on_figures({.pace = 0.8}, 0, at(ms));
  }
  load.on_figures({.pace = 2}, 0, at(21000));
  EXPECT_GT(load.pace(at(21000)), 1.8);
  EXPECT_LT(load.pace(at(23000)), 1);
}

}  // namespace
