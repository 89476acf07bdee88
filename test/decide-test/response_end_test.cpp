#include "decide/response_end.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(response_end_test, an_event_stream_that_ends_inside_an_event_is_broken) {
  for (const bool unframed : {false, true}) {
    const response_end end{.unframed = unframed,
                           .is_event_stream = true,
                           .events = 3,
                           .inside_event = true};
    EXPECT_EQ(judge_end(end), response_verdict::broken) << unframed;
  }
}

TEST(response_end_test, a_framed_event_stream_that_ends_in_order_is_complete) {
  EXPECT_EQ(judge_end({.is_event_stream = true, .events = 3}),
            response_verdict::complete);
}

// Guards against a stream that passes for complete when its server is killed
// between two events.
TEST(response_end_test, an_unframed_event_stream_has_to_be_confirmed) {
  EXPECT_EQ(judge_end({.unframed = true, .is_event_stream = true, .events = 3}),
            response_verdict::unconfirmed);
}

TEST(response_end_test, only_a_frame_completes_an_event_stream_without_events) {
  EXPECT_EQ(judge_end({.is_event_stream = true}), response_verdict::complete);
  EXPECT_EQ(judge_end({.unframed = true, .is_event_stream = true}),
            response_verdict::broken);
}

TEST(response_end_test, other_responses_are_complete_as_their_frame_says) {
  EXPECT_EQ(judge_end({}), response_verdict::complete);
  EXPECT_EQ(judge_end({.unframed = true}), response_verdict::complete);
}

}  // namespace
}  // namespace boragehill::decide
