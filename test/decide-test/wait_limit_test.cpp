#include "decide/wait_limit.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

const wait_state chat{.waited = milliseconds(100),
                      .remaining = milliseconds(11900),
                      .is_stream = true,
                      .first_event_objective = milliseconds(500),
                      .gap_objective = milliseconds(250)};

TEST(wait_limit_test, rejects_at_once_if_loading_outlasts_the_caller_timeout) {
  // Demand moves to a model that is not loaded: loading takes six seconds, and
  // callers give up after two. If their requests are held, all of them fail.
  auto request = chat;
  request.ready_in = milliseconds(6000);
  EXPECT_EQ(retry_after_if_rejected(request), milliseconds(6100));
  request.ready_in = milliseconds(1200);
  EXPECT_EQ(retry_after_if_rejected(request), std::nullopt);
}

TEST(wait_limit_test, rejects_at_once_without_servers) {
  // The last server of a service crashes and is removed from the list. Requests
  // were held until their deadline, which left callers no time to retry.
  auto request = chat;
  request.is_stream = false;
  request.waited = milliseconds(0);
  request.has_server = false;
  EXPECT_EQ(retry_after_if_rejected(request), milliseconds(1000));
}

TEST(wait_limit_test,
     waits_until_the_caller_timeout_if_the_load_time_is_unknown) {
  EXPECT_EQ(retry_after_if_rejected(chat), std::nullopt);
  auto request = chat;
  request.waited = milliseconds(1900);
  EXPECT_EQ(retry_after_if_rejected(request), milliseconds(1100));
}

TEST(wait_limit_test, derives_caller_timeouts_from_objectives_and_deadline) {
  EXPECT_EQ(caller_timeout(chat), milliseconds(2000));
  auto slow_start = chat;
  slow_start.first_event_objective = milliseconds(3000);
  EXPECT_EQ(caller_timeout(slow_start), milliseconds(12000));
  auto slow_events = chat;
  slow_events.gap_objective = milliseconds(1000);
  EXPECT_EQ(caller_timeout(slow_events), milliseconds(8000));
  auto plain = chat;
  plain.is_stream = false;
  EXPECT_EQ(caller_timeout(plain), milliseconds(12000));
  auto short_deadline = chat;
  short_deadline.remaining = milliseconds(700);
  EXPECT_EQ(caller_timeout(short_deadline), milliseconds(800));
}

TEST(wait_limit_test, a_request_is_late_before_its_objective_has_passed) {
  // Under overload each request was sent just before its objective and answered
  // just after it.
  EXPECT_FALSE(is_late(milliseconds(400), milliseconds(600)));
  EXPECT_TRUE(is_late(milliseconds(500), milliseconds(600)));
  EXPECT_FALSE(is_late(milliseconds(3800), milliseconds(4000)));
  EXPECT_FALSE(is_late(milliseconds(100), milliseconds(150)));
  EXPECT_TRUE(is_late(milliseconds(130), milliseconds(150)));
  EXPECT_FALSE(is_late(milliseconds(60000), milliseconds(0)));
}

}  // namespace
}  // namespace boragehill::decide
