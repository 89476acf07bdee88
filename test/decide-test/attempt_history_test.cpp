#include "decide/attempt_history.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using fleet::repeat_rule;

TEST(attempt_history_test, retries_non_idempotent_request_only_if_not_run) {
  // Guards against running a non-idempotent request twice: the first worker
  // refuses it as full, the response of the second is interrupted. A third
  // attempt could be a second run.
  attempt_history order(repeat_rule::once, false, 3);
  order.on_attempt("a");
  EXPECT_FALSE(order.may_attempt());
  EXPECT_FALSE(order.is_known_not_run());
  order.on_not_run(false);
  EXPECT_TRUE(order.may_attempt());
  EXPECT_TRUE(order.is_known_not_run());
  EXPECT_TRUE(order.has_tried("a"));
  order.on_attempt("b");
  order.on_possible_run();
  EXPECT_FALSE(order.may_attempt());
  EXPECT_FALSE(order.is_known_not_run());
}

TEST(attempt_history_test, limits_the_runs_of_an_idempotent_request) {
  attempt_history lookup(repeat_rule::idempotent, false, 2);
  lookup.on_attempt("a");
  lookup.on_possible_run();
  EXPECT_TRUE(lookup.may_attempt());
  lookup.on_attempt("b");
  lookup.on_possible_run();
  EXPECT_FALSE(lookup.may_attempt());
}

TEST(attempt_history_test, retries_a_failure_only_of_idempotent_requests) {
  attempt_history lookup(repeat_rule::idempotent, false, 2);
  lookup.on_attempt("a");
  EXPECT_TRUE(lookup.may_retry_failure());
  lookup.on_possible_run();
  lookup.on_attempt("b");
  EXPECT_FALSE(lookup.may_retry_failure());
  for (const auto rule : {repeat_rule::once, repeat_rule::stream}) {
    attempt_history other(rule, true, 3);
    other.on_attempt("a");
    EXPECT_FALSE(other.may_retry_failure());
  }
}

TEST(attempt_history_test, reassigns_only_requests_that_may_run_again) {
  // Guards against a second run of a request that may run only once.
  attempt_history order(repeat_rule::once, false, 3);
  attempt_history stream(repeat_rule::stream, false, 3);
  for (auto* request : {&order, &stream}) {
    request->on_attempt("a");
    EXPECT_FALSE(request->may_reassign());
  }
  attempt_history lookup(repeat_rule::idempotent, false, 2);
  attempt_history resumable(repeat_rule::stream, true, 2);
  for (auto* request : {&lookup, &resumable}) {
    request->on_attempt("a");
    EXPECT_TRUE(request->may_reassign());
    request->on_possible_run();
    request->on_attempt("b");
    EXPECT_FALSE(request->may_reassign());
  }
}

TEST(attempt_history_test, resumes_only_resumable_streams) {
  for (const bool resumable : {false, true}) {
    attempt_history stream(repeat_rule::stream, resumable, 2);
    stream.on_attempt("a");
    stream.on_possible_run();
    EXPECT_EQ(stream.may_attempt(), resumable);
  }
}

TEST(attempt_history_test, retries_the_server_that_interrupted_a_stream) {
  // Only one worker has the model, and its response to a resumable stream is
  // interrupted. When that worker was excluded as tried, the caller waited 16 s
  // for another one and was refused.
  attempt_history stream(repeat_rule::stream, true, 2);
  stream.on_attempt("a");
  stream.on_possible_run();
  EXPECT_TRUE(stream.may_attempt());
  EXPECT_FALSE(stream.has_tried("a"));
  EXPECT_TRUE(stream.was_interrupted_by("a"));
  stream.on_attempt("a");
  stream.on_possible_run();
  EXPECT_FALSE(stream.may_attempt());
}

TEST(attempt_history_test, excludes_a_server_that_interrupted_a_lookup) {
  attempt_history lookup(repeat_rule::idempotent, false, 2);
  lookup.on_attempt("a");
  lookup.on_possible_run();
  EXPECT_TRUE(lookup.has_tried("a"));
}

TEST(attempt_history_test, retries_a_server_that_may_be_tried_again) {
  attempt_history stream(repeat_rule::stream, false, 1);
  stream.on_attempt("a");
  stream.on_not_run(true);
  EXPECT_FALSE(stream.has_tried("a"));
}

TEST(attempt_history_test, stops_after_six_refusals) {
  attempt_history lookup(repeat_rule::idempotent, false, 2);
  int attempts = 0;
  while (lookup.may_attempt() && attempts < 100) {
    lookup.on_attempt("a");
    lookup.on_not_run(true);
    ++attempts;
  }
  EXPECT_EQ(attempts, 6);
}

// Guards against a retry budget that is used up by servers that are down.
TEST(attempt_history_test, counts_as_arrived_only_what_was_sent) {
  attempt_history order(repeat_rule::once, false, 1);
  order.on_attempt("a");
  order.on_unsent();
  EXPECT_FALSE(order.may_have_arrived());
  EXPECT_TRUE(order.may_attempt());
  EXPECT_TRUE(order.has_tried("a"));
  order.on_attempt("b");
  order.on_not_run(false);
  EXPECT_TRUE(order.may_have_arrived());
  order.on_attempt("c");
  order.on_unsent();
  EXPECT_TRUE(order.may_have_arrived());
}

}  // namespace
}  // namespace boragehill::decide
