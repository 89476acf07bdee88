#include "decide/stalled_request.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

constexpr milliseconds patience{3200};

/// \return The action for a request that was sent just before its server
///     stalled.
stalled_request_action step_after(milliseconds silent) {
  return decide_stalled_request(
      {.stalled_for = silent, .remaining = patience - silent});
}

TEST(silent_wait_test, a_caller_is_told_before_it_gives_up) {
  // Guards against callers that time out at an unresponsive server.
  for (milliseconds silent{0}; silent < patience; ++silent) {
    if (step_after(silent) == stalled_request_action::give_up) return;
  }
  FAIL() << "the caller was never told";
}

TEST(silent_wait_test, a_short_silence_costs_no_answer) {
  // Guards against giving up on a server that resumes within a second.
  EXPECT_EQ(step_after(milliseconds(1000)), stalled_request_action::wait);
}

TEST(silent_wait_test, an_impatient_caller_is_told_sooner) {
  const milliseconds silent{600};
  EXPECT_EQ(
      decide_stalled_request({.stalled_for = silent, .remaining = silent / 2}),
      stalled_request_action::give_up);
  EXPECT_EQ(
      decide_stalled_request({.stalled_for = silent, .remaining = silent * 2}),
      stalled_request_action::wait);
}

TEST(silent_wait_test, what_another_server_can_take_moves_at_once) {
  EXPECT_EQ(decide_stalled_request({.stalled_for = milliseconds(500),
                                    .remaining = patience,
                                    .movable = true}),
            stalled_request_action::move);
}

TEST(silent_wait_test, an_answer_that_has_begun_is_not_ended) {
  // Guards against cutting off a stream whose server resumes.
  EXPECT_EQ(decide_stalled_request({.stalled_for = patience * 2,
                                    .remaining = milliseconds(0),
                                    .response_started = true}),
            stalled_request_action::wait);
}

TEST(silent_wait_test, a_stream_that_may_go_on_elsewhere_moves) {
  EXPECT_EQ(decide_stalled_request({.stalled_for = milliseconds(500),
                                    .remaining = patience,
                                    .response_started = true,
                                    .movable = true}),
            stalled_request_action::move);
}

}  // namespace
}  // namespace boragehill::decide
