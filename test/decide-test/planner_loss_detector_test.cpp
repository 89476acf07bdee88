#include "decide/planner_loss_detector.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(planner_loss_test, a_planner_that_was_not_reached_once_keeps_its_place) {
  // One packet is lost while a router connects. The planner was replaced, and
  // all routers and agents had to find the new one, which had no state.
  planner_loss_detector loss;
  EXPECT_FALSE(loss.on_link_ended(7, false));
  EXPECT_TRUE(loss.on_link_ended(7, false));
}

TEST(planner_loss_test, a_later_planner_is_tried_anew) {
  // After a restart of all processes the first read still returns the row of
  // the previous planner.
  planner_loss_detector loss;
  EXPECT_FALSE(loss.on_link_ended(7, false));
  EXPECT_FALSE(loss.on_link_ended(9, false));
}

TEST(planner_loss_test, a_planner_whose_link_breaks_is_lost) {
  planner_loss_detector loss;
  EXPECT_TRUE(loss.on_link_ended(7, true));
}

TEST(planner_loss_test, failures_before_it_was_reached_are_forgotten) {
  planner_loss_detector loss;
  EXPECT_FALSE(loss.on_link_ended(7, false));
  loss.on_connected();
  EXPECT_FALSE(loss.on_link_ended(7, false));
}

}  // namespace
}  // namespace boragehill::decide
