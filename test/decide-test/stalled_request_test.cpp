#include "decide/stalled_request.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

constexpr milliseconds time_limit{3200};

/// \return The action for a request that was sent just before its server
///     stalled.
stalled_request_action action_after(milliseconds stalled_for) {
  return decide_stalled_request(
      {.stalled_for = stalled_for, .remaining = time_limit - stalled_for});
}

TEST(stalled_request_test, is_given_up_before_the_caller_times_out) {
  // Guards against callers that time out at an unresponsive server.
  for (milliseconds stalled_for{0}; stalled_for < time_limit; ++stalled_for) {
    if (action_after(stalled_for) == stalled_request_action::give_up) return;
  }
  FAIL() << "the request was never given up";
}

TEST(stalled_request_test, waits_during_a_short_stall) {
  // Guards against giving up on a server that resumes within a second.
  EXPECT_EQ(action_after(milliseconds(1000)), stalled_request_action::wait);
}

TEST(stalled_request_test, is_given_up_sooner_with_less_time_remaining) {
  const milliseconds stalled_for{600};
  EXPECT_EQ(decide_stalled_request(
                {.stalled_for = stalled_for, .remaining = stalled_for / 2}),
            stalled_request_action::give_up);
  EXPECT_EQ(decide_stalled_request(
                {.stalled_for = stalled_for, .remaining = stalled_for * 2}),
            stalled_request_action::wait);
}

TEST(stalled_request_test, moves_at_once_to_another_server) {
  EXPECT_EQ(decide_stalled_request({.stalled_for = milliseconds(500),
                                    .remaining = time_limit,
                                    .movable = true}),
            stalled_request_action::move);
}

TEST(stalled_request_test, is_not_given_up_once_the_response_has_started) {
  // Guards against cutting off a stream whose server resumes.
  EXPECT_EQ(decide_stalled_request({.stalled_for = time_limit * 2,
                                    .remaining = milliseconds(0),
                                    .response_started = true}),
            stalled_request_action::wait);
}

TEST(stalled_request_test, moves_a_started_stream_that_can_continue_elsewhere) {
  EXPECT_EQ(decide_stalled_request({.stalled_for = milliseconds(500),
                                    .remaining = time_limit,
                                    .response_started = true,
                                    .movable = true}),
            stalled_request_action::move);
}

}  // namespace
}  // namespace boragehill::decide
