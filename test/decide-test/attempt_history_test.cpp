#include "decide/attempt_history.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using fleet::repeat_rule;

TEST(send_record_test, sends_an_order_again_only_while_it_surely_did_not_run) {
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

TEST(send_record_test, repeats_an_idempotent_request_within_its_attempts) {
  attempt_history lookup(repeat_rule::idempotent, false, 2);
  lookup.on_attempt("a");
  lookup.on_possible_run();
  EXPECT_TRUE(lookup.may_attempt());
  lookup.on_attempt("b");
  lookup.on_possible_run();
  EXPECT_FALSE(lookup.may_attempt());
}

TEST(send_record_test, repeats_a_failure_only_of_what_may_be_repeated) {
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

TEST(send_record_test, moves_only_what_may_be_repeated) {
  // Guards against a second run of a request that may run only once.
  attempt_history order(repeat_rule::once, false, 3);
  attempt_history stream(repeat_rule::stream, false, 3);
  for (auto* each : {&order, &stream}) {
    each->on_attempt("a");
    EXPECT_FALSE(each->may_reassign());
  }
  attempt_history lookup(repeat_rule::idempotent, false, 2);
  attempt_history resumable(repeat_rule::stream, true, 2);
  for (auto* each : {&lookup, &resumable}) {
    each->on_attempt("a");
    EXPECT_TRUE(each->may_reassign());
    each->on_possible_run();
    each->on_attempt("b");
    EXPECT_FALSE(each->may_reassign());
  }
}

TEST(send_record_test, resumes_only_streams_that_may_be) {
  for (const bool resumable : {false, true}) {
    attempt_history stream(repeat_rule::stream, resumable, 2);
    stream.on_attempt("a");
    stream.on_possible_run();
    EXPECT_EQ(stream.may_attempt(), resumable);
  }
}

TEST(send_record_test, asks_the_only_server_again_that_broke_a_stream_off) {
  // Only one worker has the model, and its response to a resumable stream is
  // interrupted. When that worker was excluded as tried, the caller waited 16 s
  // for another one and was refused.
  attempt_history review(repeat_rule::stream, true, 2);
  review.on_attempt("a");
  review.on_possible_run();
  EXPECT_TRUE(review.may_attempt());
  EXPECT_FALSE(review.has_tried("a"));
  EXPECT_TRUE(review.was_interrupted_by("a"));
  review.on_attempt("a");
  review.on_possible_run();
  EXPECT_FALSE(review.may_attempt());
}

TEST(send_record_test, leaves_a_server_out_that_broke_a_lookup_off) {
  attempt_history lookup(repeat_rule::idempotent, false, 2);
  lookup.on_attempt("a");
  lookup.on_possible_run();
  EXPECT_TRUE(lookup.has_tried("a"));
}

TEST(send_record_test, asks_a_server_again_that_only_lacked_the_model) {
  attempt_history stream(repeat_rule::stream, false, 1);
  stream.on_attempt("a");
  stream.on_not_run(true);
  EXPECT_FALSE(stream.has_tried("a"));
}

TEST(send_record_test, gives_up_after_many_refusals) {
  attempt_history lookup(repeat_rule::idempotent, false, 2);
  int sends = 0;
  while (lookup.may_attempt() && sends < 100) {
    lookup.on_attempt("a");
    lookup.on_not_run(true);
    ++sends;
  }
  EXPECT_EQ(sends, 6);
}

}  // namespace
}  // namespace boragehill::decide
