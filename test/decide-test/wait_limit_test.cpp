#include "decide/wait_limit.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

const wait_state chat{.waited = milliseconds(100),
                      .remaining = milliseconds(11900),
                      .is_stream = true,
                      .first_event_objective = milliseconds(500),
                      .gap_objective = milliseconds(250)};

TEST(wait_limit_test, refuses_at_once_what_its_caller_will_not_wait_for) {
  // Demand moves to a model that is not loaded: loading takes six seconds, and
  // callers give up after two. If their requests are held, all of them fail.
  auto waiting = chat;
  waiting.ready_in = milliseconds(6000);
  EXPECT_EQ(retry_after_if_rejected(waiting), milliseconds(6100));
  waiting.ready_in = milliseconds(1200);
  EXPECT_EQ(retry_after_if_rejected(waiting), std::nullopt);
}

TEST(wait_limit_test, refuses_at_once_where_no_server_is_left) {
  // The last server of a service crashes and is removed from the list. Requests
  // were held until their deadline, which left callers no time to retry.
  auto waiting = chat;
  waiting.is_stream = false;
  waiting.waited = milliseconds(0);
  waiting.has_server = false;
  EXPECT_EQ(retry_after_if_rejected(waiting), milliseconds(1000));
}

TEST(wait_limit_test, waits_on_while_nobody_knows_and_the_caller_stays) {
  EXPECT_EQ(retry_after_if_rejected(chat), std::nullopt);
  auto waiting = chat;
  waiting.waited = milliseconds(1900);
  EXPECT_EQ(retry_after_if_rejected(waiting), milliseconds(1100));
}

TEST(wait_limit_test, knows_how_long_callers_stay) {
  EXPECT_EQ(caller_timeout(chat), milliseconds(2000));
  auto draft = chat;
  draft.first_event_objective = milliseconds(3000);
  EXPECT_EQ(caller_timeout(draft), milliseconds(12000));
  auto slow_events = chat;
  slow_events.gap_objective = milliseconds(1000);
  EXPECT_EQ(caller_timeout(slow_events), milliseconds(8000));
  auto plain = chat;
  plain.is_stream = false;
  EXPECT_EQ(caller_timeout(plain), milliseconds(12000));
  auto hurried = chat;
  hurried.remaining = milliseconds(700);
  EXPECT_EQ(caller_timeout(hurried), milliseconds(800));
}

}  // namespace
}  // namespace boragehill::decide
