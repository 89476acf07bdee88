#include "decide/router_count.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

constexpr milliseconds hold{10000};
const time_point start{std::chrono::seconds(100)};

TEST(router_count_test, is_unknown_until_a_planner_has_told_it) {
  router_count count(hold);
  EXPECT_EQ(count.value(start), std::nullopt);
  count.on_told(3, start);
  EXPECT_EQ(count.value(start), 3);
}

TEST(router_count_test, grows_at_once) {
  router_count count(hold);
  count.on_told(1, start);
  count.on_told(6, start + milliseconds(50));
  EXPECT_EQ(count.value(start + milliseconds(50)), 6);
}

// Guards against a new planner that counts routers as they link to it.
TEST(router_count_test, does_not_shrink_while_a_new_planner_counts) {
  router_count count(hold);
  count.on_told(6, start);
  count.on_planner_lost(start + milliseconds(100));
  auto now = start + milliseconds(1500);
  for (const int told : {1, 2, 4}) {
    count.on_told(told, now);
    EXPECT_EQ(count.value(now), 6);
    now += milliseconds(200);
  }
  count.on_told(6, now);
  EXPECT_EQ(count.value(now + 2 * hold), 6);
}

TEST(router_count_test, shrinks_to_the_largest_number_told_within_the_hold) {
  router_count count(hold);
  count.on_told(6, start);
  count.on_told(3, start + milliseconds(100));
  count.on_told(4, start + milliseconds(200));
  count.on_told(2, start + milliseconds(300));
  EXPECT_EQ(count.value(start + milliseconds(99) + hold), 6);
  EXPECT_EQ(count.value(start + milliseconds(100) + hold), 4);
  count.on_told(2, start + milliseconds(200) + hold);
  EXPECT_EQ(count.value(start + milliseconds(200) + hold), 4);
  EXPECT_EQ(count.value(start + milliseconds(200) + 2 * hold), 2);
}

// Guards against a router that is cut off and keeps the part that the others
// divide among themselves meanwhile.
TEST(router_count_test, expires_without_a_planner) {
  router_count count(hold);
  count.on_told(6, start);
  count.on_planner_lost(start);
  count.on_planner_lost(start + milliseconds(5000));
  EXPECT_EQ(count.value(start + hold - milliseconds(1)), 6);
  EXPECT_EQ(count.value(start + hold), std::nullopt);
  EXPECT_EQ(count.last_known(start + hold), 6);
  count.on_told(2, start + 2 * hold);
  EXPECT_EQ(count.value(start + 2 * hold), 6);
}

// Guards against a smaller number that no planner confirms any more.
TEST(router_count_test, does_not_shrink_while_the_planner_is_lost) {
  router_count count(hold);
  count.on_told(6, start);
  count.on_told(2, start + milliseconds(100));
  count.on_planner_lost(start + hold - milliseconds(500));
  EXPECT_EQ(count.value(start + hold + milliseconds(200)), 6);
  count.on_told(2, start + hold + milliseconds(300));
  EXPECT_EQ(count.value(start + hold + milliseconds(400)), 6);
}

}  // namespace
}  // namespace boragehill::decide
