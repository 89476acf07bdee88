#include "decide/response_time_estimate.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using std::chrono::seconds;

const time_point begin{seconds(100)};

TEST(response_time_estimate_test, uses_the_default_without_measurements) {
  const response_time_estimate estimate;
  EXPECT_EQ(estimate.max_response_time(0, begin), seconds(1));
  EXPECT_EQ(estimate.max_response_time(100, begin), milliseconds(1900));
}

TEST(response_time_estimate_test, uses_the_slowest_recent_response) {
  // Guards against time limits that are too short for responses of busy
  // workers.
  response_time_estimate estimate;
  estimate.on_response(300, milliseconds(4500), begin);
  estimate.on_response(300, milliseconds(600), begin + seconds(1));
  EXPECT_EQ(estimate.max_response_time(300, begin + seconds(2)),
            milliseconds(7750));
  EXPECT_EQ(estimate.max_response_time(0, begin + seconds(2)), seconds(1));
}

// Guards against calls that are sent to a slow service late in a shutdown and
// cut off at its end.
TEST(response_time_estimate_test, uses_the_slowest_recent_call) {
  response_time_estimate estimate;
  estimate.on_call(seconds(4), begin);
  estimate.on_call(milliseconds(20), begin + seconds(11));
  EXPECT_EQ(estimate.max_response_time(0, begin + seconds(12)), seconds(6));
  EXPECT_EQ(estimate.max_response_time(0, begin + seconds(31)), seconds(1));
  // Generations are judged by generations.
  EXPECT_EQ(estimate.max_response_time(100, begin + seconds(12)),
            milliseconds(1900));
}

TEST(response_time_estimate_test, never_estimates_less_than_the_default) {
  // Guards against an estimate from a few responses that end far below their
  // maximum length, which say nothing about long ones, or from plain calls.
  response_time_estimate estimate;
  estimate.on_response(300, milliseconds(10), begin);
  estimate.on_response(0, seconds(60), begin);
  EXPECT_EQ(estimate.max_response_time(100, begin), milliseconds(1900));
}

TEST(response_time_estimate_test,
     a_stalled_short_response_raises_the_estimate_only_slightly) {
  // Guards against rejecting all callers because of one stalled response of one
  // token.
  response_time_estimate estimate;
  estimate.on_response(1, milliseconds(400), begin);
  EXPECT_EQ(estimate.max_response_time(300, begin), seconds(7));
}

TEST(response_time_estimate_test, extreme_values_do_not_overflow_clocks) {
  // Guards against an overflow through the token limit that a caller sends.
  response_time_estimate estimate;
  estimate.on_response(1, std::chrono::hours(10), begin);
  EXPECT_LT(estimate.max_response_time(2000000000, begin),
            std::chrono::hours(2));
}

TEST(response_time_estimate_test, forgets_a_slow_response_after_two_windows) {
  // Guards against rejections long after a short load peak.
  response_time_estimate estimate;
  estimate.on_response(100, seconds(3), begin);
  estimate.on_response(100, seconds(1), begin + seconds(11));
  EXPECT_EQ(estimate.max_response_time(100, begin + seconds(11)),
            milliseconds(5500));
  estimate.on_response(100, seconds(1), begin + seconds(21));
  EXPECT_EQ(estimate.max_response_time(100, begin + seconds(21)),
            milliseconds(2500));
  EXPECT_EQ(estimate.max_response_time(100, begin + seconds(60)),
            milliseconds(1900));
}

}  // namespace
}  // namespace boragehill::decide
