#include "decide/shutdown_gate.hpp"

#include <gtest/gtest.h>

#include "decide/response_time_estimate.hpp"

namespace boragehill::decide {
namespace {

const time_point begin{std::chrono::seconds(100)};
const milliseconds long_response =
    response_time_estimate().max_response_time(600, begin);
const milliseconds short_response =
    response_time_estimate().max_response_time(100, begin);
const milliseconds plain_call =
    response_time_estimate().max_response_time(0, begin);

TEST(shutdown_gate_test, rejects_a_late_generation_that_would_be_cut_off) {
  // A router gets SIGTERM while the rest of its zone is busy, and callers still
  // reach it six seconds later. A request accepted then is cut off when the
  // process ends; a rejected one is served by another router.
  shutdown_gate gate;
  EXPECT_FALSE(gate.rejects(long_response, begin));
  gate.begin_shutdown(begin, begin + std::chrono::seconds(8));
  EXPECT_FALSE(gate.rejects(long_response, begin + std::chrono::seconds(2)));
  EXPECT_TRUE(gate.rejects(long_response, begin + std::chrono::seconds(3)));
}

TEST(shutdown_gate_test, serves_requests_that_are_certain_to_end_in_time) {
  // If routers are shut down in quick succession, all of them are shutting down
  // for some seconds: a rejected caller reaches only others that reject it.
  shutdown_gate gate;
  gate.begin_shutdown(begin, begin + std::chrono::seconds(8));
  EXPECT_FALSE(gate.rejects(short_response, begin + std::chrono::seconds(5)));
  EXPECT_TRUE(gate.rejects(short_response, begin + milliseconds(6200)));
  EXPECT_FALSE(gate.rejects(plain_call, begin + std::chrono::seconds(6)));
  EXPECT_TRUE(gate.rejects(plain_call, begin + milliseconds(7500)));
}

TEST(shutdown_gate_test, rejects_a_late_stream_that_may_outlast_the_process) {
  // Guards against streams that are cut off because they were longer than
  // estimated.
  shutdown_gate gate;
  const auto end = begin + std::chrono::seconds(8);
  EXPECT_FALSE(gate.rejects_long_response(begin, end));
  gate.begin_shutdown(begin, end);
  const auto early = begin + std::chrono::seconds(2);
  const auto late = begin + std::chrono::seconds(3);
  EXPECT_FALSE(gate.rejects_long_response(early, end));
  EXPECT_TRUE(gate.rejects_long_response(late, end));
  EXPECT_FALSE(gate.rejects_long_response(late, end - milliseconds(1)));
}

TEST(shutdown_gate_test, rejects_a_request_that_has_waited_too_long) {
  // Guards against responses that are cut off because their requests have
  // waited for a server.
  shutdown_gate gate;
  gate.begin_shutdown(begin, begin + std::chrono::seconds(8));
  const auto arrival = begin + std::chrono::seconds(1);
  EXPECT_FALSE(gate.rejects(short_response, arrival));
  EXPECT_FALSE(gate.rejects(short_response, arrival + milliseconds(5000)));
  EXPECT_TRUE(gate.rejects(short_response, arrival + milliseconds(5200)));
}

TEST(shutdown_gate_test, rejects_all_requests_just_before_the_end) {
  // A router in shutdown has no open request and ends; a request that it read
  // in between was sent to a worker and cut off 160 ms later.
  shutdown_gate gate;
  gate.begin_shutdown(begin, begin + std::chrono::seconds(8));
  EXPECT_FALSE(gate.rejects(plain_call, begin + std::chrono::seconds(5)));
  gate.reject_all();
  EXPECT_TRUE(gate.rejects(plain_call, begin + std::chrono::seconds(5)));
}

}  // namespace
}  // namespace boragehill::decide
