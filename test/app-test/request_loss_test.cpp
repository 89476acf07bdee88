#include "app/request_loss.hpp"

#include <gtest/gtest.h>

namespace boragehill::app {
namespace {

log_line line_of(const std::string& text) {
  auto line = parse_log_line(text);
  EXPECT_TRUE(line) << text;
  return line.value_or(log_line{});
}

log_line answered(const std::string& fields) {
  return line_of("time_ms=9000 level=info event=602 name=request_answered " +
                 fields);
}

TEST(request_loss_test, tells_why_an_answer_was_late) {
  EXPECT_EQ(cause_of(answered("status=200 waited_ms=1 first_ms=80 "
                              "objective_ms=400 gap_ms=9")),
            "");
  EXPECT_EQ(cause_of(answered("status=200 waited_ms=2000 first_ms=2050 "
                              "objective_ms=400")),
            "late: waited for a server");
  EXPECT_EQ(cause_of(answered("status=200 waited_ms=3 first_ms=600 "
                              "objective_ms=400")),
            "late: at the server");
  EXPECT_EQ(cause_of(answered("status=200 first_ms=60 objective_ms=400 "
                              "gap_ms=700 gap_objective_ms=400")),
            "late: paused");
  EXPECT_EQ(cause_of(answered("status=500 first_ms=60")),
            "failed by the server");
}

TEST(request_loss_test, tells_where_callers_left) {
  const std::string start =
      "time_ms=1 level=info event=609 name=caller_hung_up ";
  EXPECT_EQ(cause_of(line_of(start + "sends=0 first_ms=-1")),
            "left: waiting for a server");
  EXPECT_EQ(cause_of(line_of(start + "sends=1 first_ms=-1")),
            "left: at the server");
  EXPECT_EQ(cause_of(line_of(start + "sends=1 first_ms=40")),
            "left: in the answer");
}

TEST(request_loss_test, sums_up_by_the_time_at_which_requests_came) {
  const std::vector<log_line> lines{
      line_of("time_ms=1000 level=info event=102 name=process_ready id=r"),
      line_of("time_ms=6000 level=info event=601 name=request_refused "
              "route=a reason=\"no server\" all_ms=3000"),
      line_of("time_ms=4100 level=info event=601 name=request_refused "
              "route=a reason=\"no server\" all_ms=10"),
      line_of("time_ms=9000 level=info event=608 name=answer_broken route=b "
              "reason=\"time is over\" all_ms=0")};
  const auto losses = losses_of(lines, 2);
  ASSERT_EQ(losses.size(), 2U);
  EXPECT_EQ(losses.at({2, "a", "refused: no server"}), 2);
  EXPECT_EQ(losses.at({8, "b", "broken: time is over"}), 1);
}

TEST(request_loss_test, passes_over_all_other_lines) {
  EXPECT_EQ(cause_of(line_of("time_ms=1 level=info event=605 name=retry a=b")),
            "");
}

}  // namespace
}  // namespace boragehill::app
