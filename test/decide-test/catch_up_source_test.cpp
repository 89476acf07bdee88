#include "decide/catch_up_source.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(catch_up_source_test, requests_changes_only_after_a_short_gap) {
  EXPECT_EQ(choose_catch_up_source(milliseconds(0)), catch_up_source::changes);
  // The pause in which changes in quick succession are collected.
  EXPECT_EQ(choose_catch_up_source(milliseconds(450)),
            catch_up_source::changes);
  EXPECT_EQ(choose_catch_up_source(max_feed_gap + milliseconds(1)),
            catch_up_source::newest_rows);
}

}  // namespace
}  // namespace boragehill::decide
