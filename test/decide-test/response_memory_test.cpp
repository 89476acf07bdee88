#include "decide/response_memory.hpp"

#include <gtest/gtest.h>

namespace {

using namespace boragehill;
using namespace boragehill::decide;

constexpr std::size_t bound = 20U << 20U;

time_point at(int ms) {
  return time_point(milliseconds(100000 + ms));
}

TEST(response_memory_test, one_slow_caller_may_hold_a_lot) {
  response_memory memory(bound);
  memory.on_change(0, 1000);
  EXPECT_EQ(memory.pause_limit(), response_memory::most_held);
}

// Guards against a bound for each connection that many of them exceed together.
TEST(response_memory_test, many_slow_callers_share_the_bound) {
  response_memory memory(bound);
  for (int each = 0; each < 2000; ++each) memory.on_change(0, 1000);
  EXPECT_EQ(memory.pause_limit(), bound / 2 / 2000);
  EXPECT_FALSE(memory.is_exceeded());
  for (int each = 0; each < 2000; ++each) memory.on_change(1000, 0);
  EXPECT_EQ(memory.held(), 0U);
  EXPECT_EQ(memory.pause_limit(), response_memory::most_held);
}

// Guards against callers that read being cut off for those that don't.
TEST(response_memory_test, closes_those_that_take_nothing_for_longest) {
  response_memory memory(1000);
  memory.on_change(0, 400);
  memory.on_change(0, 400);
  memory.on_change(0, 400);
  ASSERT_TRUE(memory.is_exceeded());
  EXPECT_EQ(memory.choose_closed({{.bytes = 400, .last_taken = at(900)},
                                  {.bytes = 400, .last_taken = at(100)},
                                  {.bytes = 400, .last_taken = at(500)}}),
            (std::vector<std::size_t>{1}));
}

TEST(response_memory_test, closes_no_more_than_it_has_to) {
  response_memory memory(1000);
  memory.on_change(0, 1000);
  EXPECT_FALSE(memory.is_exceeded());
  memory.on_change(0, 100);
  EXPECT_TRUE(memory.is_exceeded());
  EXPECT_EQ(memory.choose_closed({{.bytes = 100, .last_taken = at(0)},
                                  {.bytes = 0, .last_taken = at(0)},
                                  {.bytes = 1000, .last_taken = at(1)}}),
            (std::vector<std::size_t>{0, 2}));
}

}  // namespace
