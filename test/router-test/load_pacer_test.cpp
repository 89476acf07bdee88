#include "router/load_pacer.hpp"

#include <gtest/gtest.h>

namespace boragehill::router {

namespace {

const time_point start = time_point(milliseconds(100000));

wire::pace_request load(const std::string& model, std::int64_t time_left) {
  return {.server = "s1", .model = model, .time_left_ms = time_left};
}

wire::pace_request end_of(const std::string& model) {
  return {.server = "s1", .model = model, .ended = true, .took_ms = 1000};
}

load_pacer one_at_a_time() {
  return load_pacer(
      {.max_parallel = 1, .initial_load_time = milliseconds(1000)});
}

}  // namespace

TEST(load_pacer_test, lets_one_load_go_and_keeps_the_next_waiting) {
  load_pacer pacer = one_at_a_time();
  EXPECT_TRUE(pacer.ask(load("a", 5000), start).start);
  const auto second = pacer.ask(load("b", 5000), start);
  EXPECT_FALSE(second.start);
  EXPECT_GT(second.wait_ms, 0);
}

TEST(load_pacer_test, gives_a_freed_slot_to_the_earliest_deadline) {
  load_pacer pacer = one_at_a_time();
  EXPECT_TRUE(pacer.ask(load("a", 5000), start).start);
  EXPECT_FALSE(pacer.ask(load("late", 90000), start).start);
  EXPECT_FALSE(pacer.ask(load("soon", 20000), start).start);
  pacer.ask(end_of("a"), start);
  EXPECT_FALSE(pacer.ask(load("late", 90000), start).start);
  EXPECT_TRUE(pacer.ask(load("soon", 20000), start).start);
}

// The answer to a home was lost; it asks again for a load that it may start.
TEST(load_pacer_test, says_the_same_again_while_the_load_runs) {
  load_pacer pacer = one_at_a_time();
  EXPECT_TRUE(pacer.ask(load("a", 5000), start).start);
  EXPECT_TRUE(pacer.ask(load("a", 4000), start).start);
  EXPECT_EQ(pacer.running(), 1U);
}

}  // namespace boragehill::router
