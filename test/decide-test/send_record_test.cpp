#include "decide/send_record.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using fleet::repeat_rule;

TEST(send_record_test, sends_an_order_again_only_while_it_surely_did_not_run) {
  // Guards against running a non-idempotent request twice: the first worker
  // refuses it as full, the response of the second is interrupted. A third
  // attempt could be a second run.
  send_record order(repeat_rule::once, false, 3);
  order.on_send("a");
  EXPECT_FALSE(order.may_send());
  EXPECT_FALSE(order.surely_not_run());
  order.on_not_run(false);
  EXPECT_TRUE(order.may_send());
  EXPECT_TRUE(order.surely_not_run());
  EXPECT_TRUE(order.tried("a"));
  order.on_send("b");
  order.on_perhaps_run();
  EXPECT_FALSE(order.may_send());
  EXPECT_FALSE(order.surely_not_run());
}

TEST(send_record_test, repeats_an_idempotent_request_within_its_attempts) {
  send_record lookup(repeat_rule::idempotent, false, 2);
  lookup.on_send("a");
  lookup.on_perhaps_run();
  EXPECT_TRUE(lookup.may_send());
  lookup.on_send("b");
  lookup.on_perhaps_run();
  EXPECT_FALSE(lookup.may_send());
}

TEST(send_record_test, repeats_a_failure_only_of_what_may_be_repeated) {
  send_record lookup(repeat_rule::idempotent, false, 2);
  lookup.on_send("a");
  EXPECT_TRUE(lookup.may_repeat_failure());
  lookup.on_perhaps_run();
  lookup.on_send("b");
  EXPECT_FALSE(lookup.may_repeat_failure());
  for (const auto rule : {repeat_rule::once, repeat_rule::stream}) {
    send_record other(rule, true, 3);
    other.on_send("a");
    EXPECT_FALSE(other.may_repeat_failure());
  }
}

TEST(send_record_test, moves_only_what_may_be_repeated) {
  // Guards against a second run of a request that may run only once.
  send_record order(repeat_rule::once, false, 3);
  send_record stream(repeat_rule::stream, false, 3);
  for (auto* each : {&order, &stream}) {
    each->on_send("a");
    EXPECT_FALSE(each->may_move());
  }
  send_record lookup(repeat_rule::idempotent, false, 2);
  send_record resumable(repeat_rule::stream, true, 2);
  for (auto* each : {&lookup, &resumable}) {
    each->on_send("a");
    EXPECT_TRUE(each->may_move());
    each->on_perhaps_run();
    each->on_send("b");
    EXPECT_FALSE(each->may_move());
  }
}

TEST(send_record_test, resumes_only_streams_that_may_be) {
  for (const bool resumable : {false, true}) {
    send_record stream(repeat_rule::stream, resumable, 2);
    stream.on_send("a");
    stream.on_perhaps_run();
    EXPECT_EQ(stream.may_send(), resumable);
  }
}

TEST(send_record_test, asks_the_only_server_again_that_broke_a_stream_off) {
  // Only one worker has the model, and its response to a resumable stream is
  // interrupted. When that worker was excluded as tried, the caller waited 16 s
  // for another one and was refused.
  send_record review(repeat_rule::stream, true, 2);
  review.on_send("a");
  review.on_perhaps_run();
  EXPECT_TRUE(review.may_send());
  EXPECT_FALSE(review.tried("a"));
  EXPECT_TRUE(review.broke_off("a"));
  review.on_send("a");
  review.on_perhaps_run();
  EXPECT_FALSE(review.may_send());
}

TEST(send_record_test, leaves_a_server_out_that_broke_a_lookup_off) {
  send_record lookup(repeat_rule::idempotent, false, 2);
  lookup.on_send("a");
  lookup.on_perhaps_run();
  EXPECT_TRUE(lookup.tried("a"));
}

TEST(send_record_test, asks_a_server_again_that_only_lacked_the_model) {
  send_record stream(repeat_rule::stream, false, 1);
  stream.on_send("a");
  stream.on_not_run(true);
  EXPECT_FALSE(stream.tried("a"));
}

TEST(send_record_test, gives_up_after_many_refusals) {
  send_record lookup(repeat_rule::idempotent, false, 2);
  int sends = 0;
  while (lookup.may_send() && sends < 100) {
    lookup.on_send("a");
    lookup.on_not_run(true);
    ++sends;
  }
  EXPECT_EQ(sends, 6);
}

}  // namespace
}  // namespace boragehill::decide
