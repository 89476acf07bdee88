#include "decide/silent_wait.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

constexpr milliseconds patience{3200};

/// \return The action for a request that was sent just before its server
///     stalled.
silent_wait_step step_after(milliseconds silent) {
  return judge_silent_wait({.silent = silent, .remaining = patience - silent});
}

TEST(silent_wait_test, a_caller_is_told_before_it_gives_up) {
  // Guards against callers that time out at an unresponsive server.
  for (milliseconds silent{0}; silent < patience; ++silent) {
    if (step_after(silent) == silent_wait_step::give_up) return;
  }
  FAIL() << "the caller was never told";
}

TEST(silent_wait_test, a_short_silence_costs_no_answer) {
  // Guards against giving up on a server that resumes within a second.
  EXPECT_EQ(step_after(milliseconds(1000)), silent_wait_step::wait);
}

TEST(silent_wait_test, an_impatient_caller_is_told_sooner) {
  const milliseconds silent{600};
  EXPECT_EQ(judge_silent_wait({.silent = silent, .remaining = silent / 2}),
            silent_wait_step::give_up);
  EXPECT_EQ(judge_silent_wait({.silent = silent, .remaining = silent * 2}),
            silent_wait_step::wait);
}

TEST(silent_wait_test, what_another_server_can_take_moves_at_once) {
  EXPECT_EQ(judge_silent_wait({.silent = milliseconds(500),
                               .remaining = patience,
                               .movable = true}),
            silent_wait_step::move);
}

TEST(silent_wait_test, an_answer_that_has_begun_is_not_ended) {
  // Guards against cutting off a stream whose server resumes.
  EXPECT_EQ(judge_silent_wait({.silent = patience * 2,
                               .remaining = milliseconds(0),
                               .begun = true}),
            silent_wait_step::wait);
}

TEST(silent_wait_test, a_stream_that_may_go_on_elsewhere_moves) {
  EXPECT_EQ(judge_silent_wait({.silent = milliseconds(500),
                               .remaining = patience,
                               .begun = true,
                               .movable = true}),
            silent_wait_step::move);
}

}  // namespace
}  // namespace boragehill::decide
