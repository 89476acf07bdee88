#include <atomic>
#include <chrono>
#include <cstddef>
#include <gtest/gtest.h>
#include <string>
#include <thread>

#include "fleet-test/answering_server.hpp"
#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

/// The heads of answers that are framed in each way.
const std::string cut_heads[] = {
    "HTTP/1.1 200 OK\r\nBoragehill-Response-Stamp: s\r\n"
    "Content-Type: text/plain\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nBoragehill-Response-Stamp: s\r\n"
    "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nBoragehill-Response-Stamp: s\r\n"
    "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Boragehill-Response-Stamp: s\r\nContent-Length: 0\r\n\r\n"};

/// A plain service one of whose servers stops in the middle of its answers'
/// heads and closes its connections.
class cut_head_test : public testing::TestWithParam<std::size_t> {
 protected:
  cut_head_test()
      : fleet(1, 0, 1, 1),
        server({.address = "127.0.0.1"}, [this](const http::message_head&) {
          return server_answer_bytes{.head = head().substr(0, this->cut),
                                     .closes = true};
        }) {}

  static const std::string& head() { return cut_heads[GetParam()]; }

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    constexpr int slots = 8;
    this->fleet.write_entry("i-cut", this->server.entry(slots));
  }

  void await_router() const {
    constexpr std::chrono::milliseconds read_by_the_router{1500};
    std::this_thread::sleep_for(read_by_the_router);
  }

  std::atomic<std::size_t> cut{0};
  small_fleet fleet;
  answering_server server;
};

// Guards against a head that is cut off and passed on as a complete answer.
TEST_P(cut_head_test, a_request_that_runs_once_fails) {
  this->fleet.forget_server("i-plain-1");
  this->await_router();
  constexpr int step = 17;
  for (this->cut = 1; this->cut < head().size(); this->cut += step) {
    const auto attempt = numbered("cut", static_cast<int>(this->cut));
    const auto answer = this->fleet.call(1, attempt, {});
    ASSERT_TRUE(answer) << attempt;
    EXPECT_EQ(answer->status, 502) << attempt << " got " << answer->body;
  }
}

// Guards against the same where the request can go to another server.
TEST_P(cut_head_test, a_request_that_may_run_again_is_answered_whole) {
  constexpr int step = 17;
  this->await_router();
  ASSERT_TRUE(this->fleet.wait_for_retries(1, 20));
  for (this->cut = 1; this->cut < head().size(); this->cut += step) {
    const auto attempt = numbered("cut", static_cast<int>(this->cut));
    const auto answer = this->fleet.call(1, attempt, {}, "/lookup/x");
    ASSERT_TRUE(answer) << attempt;
    if (answer->status != 200) continue;
    EXPECT_TRUE(answer->body.starts_with("plain answer to ")) << answer->body;
  }
}

INSTANTIATE_TEST_SUITE_P(all, cut_head_test,
                         testing::Range<std::size_t>(0, std::size(cut_heads)));

}  // namespace
}  // namespace boragehill::fleet_test
