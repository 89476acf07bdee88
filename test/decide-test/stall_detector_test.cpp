#include "decide/stall_detector.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using transition = stall_detector::transition;

/// A server with requests of a router, on a simulated clock.
class simulated_server {
 public:
  /// Sends requests and starts their responses, one every 5 ms.
  void start_streams(int count) {
    for (int stream = 0; stream < count; ++stream) {
      this->detector.responses().on_sent(500, this->now);
      this->advance(5);
      this->detector.responses().on_response_started(500, this->now);
    }
  }

  /// Receives pieces of data, `interval_ms` apart.
  void receive_data(int pieces, int interval_ms) {
    for (int piece = 0; piece < pieces; ++piece) {
      this->advance(interval_ms);
      EXPECT_EQ(this->detector.update(this->now), transition::none) << piece;
      this->detector.responses().on_data(this->now);
    }
  }

  void advance(int ms) { this->now += milliseconds(ms); }

  transition update() { return this->detector.update(this->now); }

  stall_detector detector;
  time_point now{std::chrono::seconds(100)};
};

TEST(stall_detector_test, suspects_a_server_with_many_stalled_streams_soon) {
  // The worker of the busiest model, which gets 50 requests per second, stalls.
  // Even four requests pending at a stalled worker are too many.
  simulated_server server;
  server.start_streams(10);
  server.receive_data(100, 8);
  server.advance(125);
  EXPECT_EQ(server.update(), transition::suspected);
  EXPECT_TRUE(server.detector.is_suspected());
}

TEST(stall_detector_test,
     tolerates_a_pause_of_one_stream_while_a_prompt_is_processed) {
  // A long prompt of another router is processed in steps of 70 ms, and an
  // event holds the tokens of several steps.
  simulated_server server;
  server.start_streams(1);
  server.receive_data(20, 30);
  server.advance(210);
  EXPECT_EQ(server.update(), transition::none);
  server.advance(100);
  EXPECT_EQ(server.update(), transition::suspected);
}

TEST(stall_detector_test, allows_time_to_process_a_long_prompt) {
  simulated_server server;
  server.detector.responses().on_sent(9000, server.now);
  server.advance(600);
  EXPECT_EQ(server.update(), transition::none);
  server.advance(600);
  EXPECT_EQ(server.update(), transition::suspected);
}

TEST(stall_detector_test, one_stalled_response_among_others_is_no_stall) {
  simulated_server server;
  server.start_streams(2);
  server.detector.responses().on_sent(500, server.now);
  server.receive_data(200, 20);
  EXPECT_FALSE(server.detector.is_suspected());
}

TEST(stall_detector_test, does_not_suspect_a_server_without_requests) {
  simulated_server server;
  server.start_streams(1);
  server.detector.responses().on_started_request_removed();
  server.advance(5000);
  EXPECT_EQ(server.update(), transition::none);
}

TEST(stall_detector_test, expects_no_data_for_a_response_under_back_pressure) {
  simulated_server server;
  server.start_streams(1);
  server.detector.responses().on_read_paused();
  server.advance(5000);
  EXPECT_EQ(server.update(), transition::none);
  server.detector.responses().on_read_resumed(server.now);
  EXPECT_EQ(server.update(), transition::none);
  server.advance(1000);
  EXPECT_EQ(server.update(), transition::suspected);
}

TEST(stall_detector_test, ignores_a_pause_of_the_router) {
  simulated_server server;
  server.start_streams(5);
  server.advance(4000);
  server.detector.responses().ignore_local_pause(server.now);
  EXPECT_EQ(server.update(), transition::none);
}

TEST(stall_detector_test, a_pause_of_the_router_does_not_clear_a_suspicion) {
  // A worker's machine stalls and is suspected; then the router is paused, too.
  // When it resumed, it took the end of its own pause for data from the worker
  // and sent further requests to a machine that was still stalled.
  simulated_server server;
  server.start_streams(5);
  server.advance(500);
  ASSERT_EQ(server.update(), transition::suspected);
  server.advance(1000);
  server.detector.responses().ignore_local_pause(server.now);
  EXPECT_EQ(server.update(), transition::none);
  EXPECT_TRUE(server.detector.is_suspected());
}

TEST(stall_detector_test, a_resumed_read_does_not_clear_a_suspicion) {
  // A slow caller reads more of its response while the worker is stalled; this
  // shows nothing about the worker.
  simulated_server server;
  server.start_streams(5);
  server.detector.responses().on_read_paused();
  server.advance(500);
  ASSERT_EQ(server.update(), transition::suspected);
  server.advance(100);
  server.detector.responses().on_read_resumed(server.now);
  EXPECT_EQ(server.update(), transition::none);
  EXPECT_TRUE(server.detector.is_suspected());
}

TEST(stall_detector_test, data_clears_the_suspicion) {
  simulated_server server;
  server.start_streams(10);
  server.receive_data(50, 8);
  server.advance(1000);
  ASSERT_EQ(server.update(), transition::suspected);
  EXPECT_TRUE(server.detector.is_probe_due(server.now));
  EXPECT_FALSE(server.detector.is_confirmed(server.now));
  server.advance(200);
  EXPECT_TRUE(server.detector.is_confirmed(server.now));
  server.detector.responses().on_data(server.now);
  EXPECT_EQ(server.update(), transition::recovered);
  EXPECT_FALSE(server.detector.is_suspected());
  // The stall that has ended doesn't raise the estimate of the usual gap.
  server.advance(125);
  EXPECT_EQ(server.update(), transition::suspected);
}

TEST(stall_detector_test, a_successful_probe_clears_a_false_suspicion) {
  simulated_server server;
  server.start_streams(2);
  server.advance(500);
  ASSERT_EQ(server.update(), transition::suspected);
  server.detector.on_probe_sent();
  EXPECT_FALSE(server.detector.is_probe_due(server.now));
  EXPECT_TRUE(server.detector.on_probe_ended(true, server.now));
  EXPECT_FALSE(server.detector.is_suspected());
  EXPECT_EQ(server.update(), transition::none);
}

TEST(stall_detector_test, a_failed_probe_is_retried) {
  simulated_server server;
  server.start_streams(2);
  server.advance(500);
  ASSERT_EQ(server.update(), transition::suspected);
  server.detector.on_probe_sent();
  EXPECT_FALSE(server.detector.on_probe_ended(false, server.now));
  EXPECT_TRUE(server.detector.is_suspected());
  EXPECT_FALSE(server.detector.is_probe_due(server.now));
  server.advance(250);
  EXPECT_TRUE(server.detector.is_probe_due(server.now));
}

TEST(stall_detector_test, a_failed_probe_counts_only_for_its_suspicion) {
  // Guards against giving up requests at a server that has sent data since.
  simulated_server server;
  server.start_streams(2);
  server.advance(500);
  ASSERT_EQ(server.update(), transition::suspected);
  EXPECT_FALSE(server.detector.is_unresponsive());
  server.detector.on_probe_sent();
  server.detector.on_probe_ended(false, server.now);
  EXPECT_TRUE(server.detector.is_unresponsive());
  server.advance(10);
  server.detector.responses().on_data(server.now);
  ASSERT_EQ(server.update(), transition::recovered);
  EXPECT_FALSE(server.detector.is_unresponsive());
  server.advance(1200);
  ASSERT_EQ(server.update(), transition::suspected);
  EXPECT_FALSE(server.detector.is_unresponsive());
}

TEST(stall_detector_test, a_pause_of_the_router_discards_a_failed_probe) {
  // Guards against moving a request away from a server whose response arrived
  // while the router was paused and is about to be read.
  simulated_server server;
  server.start_streams(2);
  server.advance(500);
  ASSERT_EQ(server.update(), transition::suspected);
  server.detector.on_probe_sent();
  server.detector.on_probe_ended(false, server.now);
  server.advance(2000);
  server.detector.ignore_local_pause(server.now);
  EXPECT_FALSE(server.detector.is_unresponsive());
  EXPECT_TRUE(server.detector.is_suspected());
}

TEST(stall_detector_test, a_discarded_probe_has_no_effect) {
  // Guards against taking a pause of the router for a stall of the server.
  simulated_server server;
  server.start_streams(2);
  server.advance(500);
  ASSERT_EQ(server.update(), transition::suspected);
  server.detector.on_probe_sent();
  server.advance(2000);
  server.detector.on_probe_discarded();
  EXPECT_FALSE(server.detector.is_unresponsive());
  EXPECT_TRUE(server.detector.is_probe_due(server.now));
}

TEST(stall_detector_test,
     a_server_that_responds_only_to_probes_is_rarely_used) {
  // A worker's status check succeeds but no request gets a response. Guards
  // against each successful probe putting it back into use for some time.
  simulated_server server;
  server.start_streams(5);
  int used_ms = 0;
  constexpr int total_ms = 30000;
  constexpr int step_ms = 10;
  for (int elapsed_ms = 0; elapsed_ms < total_ms; elapsed_ms += step_ms) {
    server.advance(step_ms);
    server.update();
    if (server.detector.is_probe_due(server.now)) {
      server.detector.on_probe_sent();
      server.detector.on_probe_ended(true, server.now);
    }
    if (!server.detector.is_suspected()) used_ms += step_ms;
  }
  EXPECT_LT(used_ms, total_ms / 5);
}

// Guards against a stream that is sent again to a server that was just killed.
TEST(stall_detector_test, probes_a_server_whose_response_broke_off) {
  const time_point now{std::chrono::seconds(100)};
  stall_detector detector;
  detector.on_interrupted(now);
  EXPECT_TRUE(detector.is_interrupted());
  EXPECT_FALSE(detector.is_suspected());
  EXPECT_TRUE(detector.is_probe_due(now));
  detector.on_probe_sent();
  EXPECT_FALSE(detector.is_probe_due(now));
  EXPECT_FALSE(detector.on_probe_ended(false, now));
  EXPECT_TRUE(detector.is_interrupted());
  EXPECT_FALSE(detector.is_probe_due(now));
  const auto later = now + milliseconds(200);
  EXPECT_TRUE(detector.is_probe_due(later));
  detector.on_probe_sent();
  EXPECT_TRUE(detector.on_probe_ended(true, later));
  EXPECT_FALSE(detector.is_interrupted());
  EXPECT_FALSE(detector.is_probe_due(later + milliseconds(1000)));
}

// Guards against a broken stream that is sent again to a server that was killed
// after it had responded to a probe.
TEST(stall_detector_test, ignores_a_probe_sent_before_a_response_broke_off) {
  simulated_server server;
  server.start_streams(1);
  server.receive_data(20, 30);
  server.advance(1100);
  ASSERT_EQ(server.update(), transition::suspected);
  auto& detector = server.detector;
  ASSERT_TRUE(detector.is_probe_due(server.now));
  detector.on_probe_sent();
  detector.on_interrupted(server.now);
  EXPECT_TRUE(detector.on_probe_ended(true, server.now));
  EXPECT_FALSE(detector.is_suspected());
  EXPECT_TRUE(detector.is_interrupted());
  EXPECT_TRUE(detector.is_probe_due(server.now));
  detector.on_probe_sent();
  EXPECT_TRUE(detector.on_probe_ended(true, server.now));
  EXPECT_FALSE(detector.is_interrupted());
}

// Guards against a server that is never used again since its status check
// fails.
TEST(stall_detector_test, ends_an_interruption_when_a_port_would_be_closed) {
  time_point now{std::chrono::seconds(100)};
  stall_detector detector;
  EXPECT_TRUE(detector.on_interrupted(now));
  now += milliseconds(400);
  EXPECT_FALSE(detector.expire_interruption(now));
  EXPECT_FALSE(detector.on_interrupted(now));
  now += milliseconds(400);
  EXPECT_FALSE(detector.expire_interruption(now));
  EXPECT_TRUE(detector.is_interrupted());
  now += milliseconds(100);
  EXPECT_TRUE(detector.expire_interruption(now));
  EXPECT_FALSE(detector.is_interrupted());
  EXPECT_FALSE(detector.is_probe_due(now));
}

// Guards against requests that wait for a server whose port is closed.
TEST(stall_detector_test, ends_an_interruption_when_a_connection_is_refused) {
  const time_point now{std::chrono::seconds(100)};
  stall_detector detector;
  EXPECT_FALSE(detector.on_connection_refused());
  detector.on_interrupted(now);
  detector.on_probe_sent();
  EXPECT_FALSE(detector.on_probe_ended(false, now));
  EXPECT_TRUE(detector.on_connection_refused());
  EXPECT_FALSE(detector.is_interrupted());
}

}  // namespace
}  // namespace boragehill::decide
