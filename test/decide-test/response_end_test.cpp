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
    EXPECT_FALSE(is_complete(end)) << unframed;
  }
}

TEST(response_end_test, an_event_stream_that_ends_after_an_event_is_complete) {
  for (const bool unframed : {false, true}) {
    const response_end end{
        .unframed = unframed, .is_event_stream = true, .events = 3};
    EXPECT_TRUE(is_complete(end)) << unframed;
  }
}

TEST(response_end_test, only_a_frame_completes_an_event_stream_without_events) {
  EXPECT_TRUE(is_complete({.is_event_stream = true}));
  EXPECT_FALSE(is_complete({.unframed = true, .is_event_stream = true}));
}

TEST(response_end_test, other_responses_are_complete_as_their_frame_says) {
  EXPECT_TRUE(is_complete({}));
  EXPECT_TRUE(is_complete({.unframed = true}));
}

}  // namespace
}  // namespace boragehill::decide
