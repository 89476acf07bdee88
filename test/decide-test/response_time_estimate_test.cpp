#include "decide/response_time_estimate.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using std::chrono::seconds;

const time_point begin{seconds(100)};

TEST(answer_pace_test, takes_the_usual_pace_before_anything_was_seen) {
  const response_time_estimate pace;
  EXPECT_EQ(pace.max_response_time(0, begin), seconds(1));
  EXPECT_EQ(pace.max_response_time(100, begin), milliseconds(1900));
}

TEST(answer_pace_test, reckons_with_the_slowest_answer_of_late) {
  // Guards against time limits that are too short for responses of busy
  // workers.
  response_time_estimate pace;
  pace.on_response(300, milliseconds(4500), begin);
  pace.on_response(300, milliseconds(600), begin + seconds(1));
  EXPECT_EQ(pace.max_response_time(300, begin + seconds(2)),
            milliseconds(7750));
  EXPECT_EQ(pace.max_response_time(0, begin + seconds(2)), seconds(1));
}

TEST(answer_pace_test, never_grants_less_than_the_usual_pace) {
  // Guards against an estimate from a few short responses, which say nothing
  // about long ones.
  response_time_estimate pace;
  pace.on_response(300, milliseconds(10), begin);
  pace.on_response(0, seconds(60), begin);
  EXPECT_EQ(pace.max_response_time(100, begin), milliseconds(1900));
}

TEST(answer_pace_test, learns_little_from_a_short_answer_that_stalls) {
  // Guards against rejecting all callers because of one stalled response of one
  // token.
  response_time_estimate pace;
  pace.on_response(1, milliseconds(400), begin);
  EXPECT_EQ(pace.max_response_time(300, begin), seconds(7));
}

TEST(answer_pace_test, grants_no_more_than_clocks_bear) {
  // Guards against an overflow through the token limit that a caller sends.
  response_time_estimate pace;
  pace.on_response(1, std::chrono::hours(10), begin);
  EXPECT_LT(pace.max_response_time(2000000000, begin), std::chrono::hours(2));
}

TEST(answer_pace_test, forgets_a_slow_answer_after_a_while) {
  // Guards against rejections long after a short load peak.
  response_time_estimate pace;
  pace.on_response(100, seconds(3), begin);
  pace.on_response(100, seconds(1), begin + seconds(11));
  EXPECT_EQ(pace.max_response_time(100, begin + seconds(11)),
            milliseconds(5500));
  pace.on_response(100, seconds(1), begin + seconds(21));
  EXPECT_EQ(pace.max_response_time(100, begin + seconds(21)),
            milliseconds(2500));
  EXPECT_EQ(pace.max_response_time(100, begin + seconds(60)),
            milliseconds(1900));
}

}  // namespace
}  // namespace boragehill::decide
