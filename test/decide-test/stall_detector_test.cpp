#include "decide/stall_detector.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using news = stall_detector::transition;

/// A server with requests of a router, on a simulated clock.
class watched_server {
 public:
  /// Sends requests and starts their responses, one every 5 ms.
  void begin_streams(int count) {
    for (int each = 0; each < count; ++each) {
      this->watch.responses().on_sent(500, this->now);
      this->pass(5);
      this->watch.responses().on_response_started(500, this->now);
    }
  }

  /// Receives pieces of data, `each` milliseconds apart.
  void hear(int pieces, int each) {
    for (int piece = 0; piece < pieces; ++piece) {
      this->pass(each);
      EXPECT_EQ(this->watch.update(this->now), news::none) << piece;
      this->watch.responses().on_data(this->now);
    }
  }

  void pass(int ms) { this->now += milliseconds(ms); }

  news judge() { return this->watch.update(this->now); }

  stall_detector watch;
  time_point now{std::chrono::seconds(100)};
};

TEST(silence_watch_test, many_streams_that_stand_still_are_doubted_soon) {
  // The worker of the busiest model, which gets 50 requests per second, stalls.
  // Even four requests pending at a stalled worker are too many.
  watched_server server;
  server.begin_streams(10);
  server.hear(100, 8);
  server.pass(125);
  EXPECT_EQ(server.judge(), news::suspected);
  EXPECT_TRUE(server.watch.is_suspected());
}

TEST(silence_watch_test, one_stream_may_pause_while_a_prompt_is_read) {
  // A long prompt of another router is processed in steps of 70 ms, and an
  // event holds the tokens of several steps.
  watched_server server;
  server.begin_streams(1);
  server.hear(20, 30);
  server.pass(210);
  EXPECT_EQ(server.judge(), news::none);
  server.pass(100);
  EXPECT_EQ(server.judge(), news::suspected);
}

TEST(silence_watch_test, a_long_prompt_alone_has_time_to_be_read) {
  watched_server server;
  server.watch.responses().on_sent(9000, server.now);
  server.pass(600);
  EXPECT_EQ(server.judge(), news::none);
  server.pass(600);
  EXPECT_EQ(server.judge(), news::suspected);
}

TEST(silence_watch_test, one_silent_answer_among_others_is_no_silence) {
  watched_server server;
  server.begin_streams(2);
  server.watch.responses().on_sent(500, server.now);
  server.hear(200, 20);
  EXPECT_FALSE(server.watch.is_suspected());
}

TEST(silence_watch_test, a_server_with_nothing_under_way_is_not_doubted) {
  watched_server server;
  server.begin_streams(1);
  server.watch.responses().on_started_request_removed();
  server.pass(5000);
  EXPECT_EQ(server.judge(), news::none);
}

TEST(silence_watch_test, an_answer_that_its_caller_holds_up_is_not_awaited) {
  watched_server server;
  server.begin_streams(1);
  server.watch.responses().on_read_paused();
  server.pass(5000);
  EXPECT_EQ(server.judge(), news::none);
  server.watch.responses().on_read_resumed(server.now);
  EXPECT_EQ(server.judge(), news::none);
  server.pass(1000);
  EXPECT_EQ(server.judge(), news::suspected);
}

TEST(silence_watch_test, a_pause_of_the_router_itself_is_excused) {
  watched_server server;
  server.begin_streams(5);
  server.pass(4000);
  server.watch.responses().ignore_local_pause(server.now);
  EXPECT_EQ(server.judge(), news::none);
}

TEST(silence_watch_test, a_pause_of_the_router_itself_ends_no_doubt) {
  // A worker's machine stalls and is suspected; then the router is paused, too.
  // When it resumed, it took the end of its own pause for data from the worker
  // and sent further requests to a machine that was still stalled.
  watched_server server;
  server.begin_streams(5);
  server.pass(500);
  ASSERT_EQ(server.judge(), news::suspected);
  server.pass(1000);
  server.watch.responses().ignore_local_pause(server.now);
  EXPECT_EQ(server.judge(), news::none);
  EXPECT_TRUE(server.watch.is_suspected());
}

TEST(silence_watch_test, a_caller_that_takes_its_answer_again_ends_no_doubt) {
  // A slow caller reads more of its response while the worker is stalled; this
  // shows nothing about the worker.
  watched_server server;
  server.begin_streams(5);
  server.watch.responses().on_read_paused();
  server.pass(500);
  ASSERT_EQ(server.judge(), news::suspected);
  server.pass(100);
  server.watch.responses().on_read_resumed(server.now);
  EXPECT_EQ(server.judge(), news::none);
  EXPECT_TRUE(server.watch.is_suspected());
}

TEST(silence_watch_test, the_next_byte_ends_the_doubt) {
  watched_server server;
  server.begin_streams(10);
  server.hear(50, 8);
  server.pass(1000);
  ASSERT_EQ(server.judge(), news::suspected);
  EXPECT_TRUE(server.watch.is_probe_due(server.now));
  EXPECT_FALSE(server.watch.is_confirmed(server.now));
  server.pass(200);
  EXPECT_TRUE(server.watch.is_confirmed(server.now));
  server.watch.responses().on_data(server.now);
  EXPECT_EQ(server.judge(), news::recovered);
  EXPECT_FALSE(server.watch.is_suspected());
  // The stall that has ended doesn't raise the estimate of the usual gap.
  server.pass(125);
  EXPECT_EQ(server.judge(), news::suspected);
}

TEST(silence_watch_test, an_answered_question_ends_a_false_doubt) {
  watched_server server;
  server.begin_streams(2);
  server.pass(500);
  ASSERT_EQ(server.judge(), news::suspected);
  server.watch.on_probe_sent();
  EXPECT_FALSE(server.watch.is_probe_due(server.now));
  EXPECT_TRUE(server.watch.on_probe_ended(true, server.now));
  EXPECT_FALSE(server.watch.is_suspected());
  EXPECT_EQ(server.judge(), news::none);
}

TEST(silence_watch_test, a_question_without_an_answer_is_asked_again) {
  watched_server server;
  server.begin_streams(2);
  server.pass(500);
  ASSERT_EQ(server.judge(), news::suspected);
  server.watch.on_probe_sent();
  EXPECT_FALSE(server.watch.on_probe_ended(false, server.now));
  EXPECT_TRUE(server.watch.is_suspected());
  EXPECT_FALSE(server.watch.is_probe_due(server.now));
  server.pass(250);
  EXPECT_TRUE(server.watch.is_probe_due(server.now));
}

TEST(silence_watch_test, a_question_left_unanswered_counts_for_its_doubt) {
  // Guards against giving up requests at a server that has sent data since.
  watched_server server;
  server.begin_streams(2);
  server.pass(500);
  ASSERT_EQ(server.judge(), news::suspected);
  EXPECT_FALSE(server.watch.is_unresponsive());
  server.watch.on_probe_sent();
  server.watch.on_probe_ended(false, server.now);
  EXPECT_TRUE(server.watch.is_unresponsive());
  server.pass(10);
  server.watch.responses().on_data(server.now);
  ASSERT_EQ(server.judge(), news::recovered);
  EXPECT_FALSE(server.watch.is_unresponsive());
  server.pass(1200);
  ASSERT_EQ(server.judge(), news::suspected);
  EXPECT_FALSE(server.watch.is_unresponsive());
}

TEST(silence_watch_test, a_pause_of_the_router_voids_an_unanswered_question) {
  // Guards against moving a request away from a server whose response arrived
  // while the router was paused and is about to be read.
  watched_server server;
  server.begin_streams(2);
  server.pass(500);
  ASSERT_EQ(server.judge(), news::suspected);
  server.watch.on_probe_sent();
  server.watch.on_probe_ended(false, server.now);
  server.pass(2000);
  server.watch.ignore_local_pause(server.now);
  EXPECT_FALSE(server.watch.is_unresponsive());
  EXPECT_TRUE(server.watch.is_suspected());
}

TEST(silence_watch_test, a_question_whose_answer_was_missed_tells_nothing) {
  // Guards against taking a pause of the router for a stall of the server.
  watched_server server;
  server.begin_streams(2);
  server.pass(500);
  ASSERT_EQ(server.judge(), news::suspected);
  server.watch.on_probe_sent();
  server.pass(2000);
  server.watch.on_probe_discarded();
  EXPECT_FALSE(server.watch.is_unresponsive());
  EXPECT_TRUE(server.watch.is_probe_due(server.now));
}

TEST(silence_watch_test, one_that_answers_questions_only_is_hardly_used) {
  // A worker's status check succeeds but no request gets a response. Guards
  // against each successful probe putting it back into use for some time.
  watched_server server;
  server.begin_streams(5);
  int used_ms = 0;
  constexpr int played_ms = 30000;
  constexpr int step_ms = 10;
  for (int at = 0; at < played_ms; at += step_ms) {
    server.pass(step_ms);
    server.judge();
    if (server.watch.is_probe_due(server.now)) {
      server.watch.on_probe_sent();
      server.watch.on_probe_ended(true, server.now);
    }
    if (!server.watch.is_suspected()) used_ms += step_ms;
  }
  EXPECT_LT(used_ms, played_ms / 5);
}

}  // namespace
}  // namespace boragehill::decide
