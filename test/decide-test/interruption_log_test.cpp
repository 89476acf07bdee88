#include "decide/interruption_log.hpp"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace boragehill::decide {
namespace {

class interruption_log_test : public testing::Test {
 protected:
  interruption_log log;
  time_point now{std::chrono::hours(1)};
};

TEST_F(interruption_log_test, reports_each_server_once) {
  this->log.add("a", "one", {.ran = milliseconds(9)}, {"p", "q"}, this->now);
  this->now += milliseconds(5);
  this->log.add("b", "one", {.ran = milliseconds(2)}, {"p"}, this->now);
  this->log.add("a", "two", {.ran = milliseconds(1)}, {"p", "r"}, this->now);
  this->log.add("a", "one", {.ran = milliseconds(3)}, {}, this->now);
  this->now += milliseconds(20);
  const std::vector<interruption> expected{
      {.server = "a",
       .age = milliseconds(25),
       .requests = {{"one", {.ran = milliseconds(9), .runs = 2}},
                    {"two",
                     {.ran = milliseconds(1), .delay = milliseconds(5)}}},
       .parts = {{"p", {0}}, {"q", {1}}, {"r", {1}}}},
      {.server = "b",
       .age = milliseconds(20),
       .requests = {{"one", {.ran = milliseconds(2)}}},
       .parts = {{"p", {0}}}}};
  EXPECT_EQ(this->log.take_unreported(this->now), expected);
  EXPECT_TRUE(this->log.take_unreported(this->now).empty());
}

TEST_F(interruption_log_test, reports_a_server_again_if_more_broke_off_there) {
  this->log.add("a", "one", {.ran = milliseconds(1)}, {}, this->now);
  this->log.take_unreported(this->now);
  this->log.add("a", "two", {.ran = milliseconds(1)}, {}, this->now);
  const auto again = this->log.take_unreported(this->now);
  ASSERT_EQ(again.size(), 1U);
  const suspect_sighting brief{.ran = milliseconds(1)};
  EXPECT_EQ(again[0].requests, (sighting_map{{"one", brief}, {"two", brief}}));
}

// Guards against crashes that are forgotten with a planner.
TEST_F(interruption_log_test, reports_what_is_recent_to_a_new_planner) {
  this->log.add("a", "one", {.ran = milliseconds(1)}, {}, this->now);
  this->now += interruption_log::retention + milliseconds(1);
  this->log.add("b", "two", {.ran = milliseconds(1)}, {}, this->now);
  this->log.take_unreported(this->now);
  this->log.report_again();
  const auto again = this->log.take_unreported(this->now);
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].server, "b");
}

TEST_F(interruption_log_test, bounds_what_it_keeps) {
  constexpr std::size_t many = 1000;
  for (std::size_t each = 0; each < many; ++each) {
    this->log.add("a" + std::to_string(each), "one", {.ran = milliseconds(1)},
                  {}, this->now);
    this->log.add("b", "r" + std::to_string(each), {.ran = milliseconds(1)},
                  {std::to_string(each)}, this->now);
  }
  const auto taken = this->log.take_unreported(this->now);
  EXPECT_LE(taken.size(), interruption_log::max_interruptions);
  for (const auto& each : taken) {
    EXPECT_LE(each.requests.size(), 256U);
    EXPECT_LE(each.parts.size(), 256U);
  }
}

}  // namespace
}  // namespace boragehill::decide
