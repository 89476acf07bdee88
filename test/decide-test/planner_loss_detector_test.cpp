#include "decide/planner_loss_detector.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(planner_loss_detector_test,
     a_planner_is_kept_after_one_failed_connection) {
  // One packet is lost while a router connects. The planner was replaced, and
  // all routers and agents had to find the new one, which had no state.
  planner_loss_detector detector;
  EXPECT_FALSE(detector.on_link_ended(7, false));
  EXPECT_TRUE(detector.on_link_ended(7, false));
}

TEST(planner_loss_detector_test, failures_are_counted_per_term) {
  // After a restart of all processes the first read still returns the row of
  // the previous planner.
  planner_loss_detector detector;
  EXPECT_FALSE(detector.on_link_ended(7, false));
  EXPECT_FALSE(detector.on_link_ended(9, false));
}

TEST(planner_loss_detector_test, a_planner_is_lost_when_its_connection_ends) {
  planner_loss_detector detector;
  EXPECT_TRUE(detector.on_link_ended(7, true));
}

TEST(planner_loss_detector_test, a_connection_resets_earlier_failures) {
  planner_loss_detector detector;
  EXPECT_FALSE(detector.on_link_ended(7, false));
  detector.on_connected();
  EXPECT_FALSE(detector.on_link_ended(7, false));
}

}  // namespace
}  // namespace boragehill::decide
