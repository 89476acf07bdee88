#include <chrono>
#include <cstddef>
#include <gtest/gtest.h>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet-test/answering_server.hpp"
#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

/// The heads of answers that are framed in each way.
const std::string heads[] = {
    "HTTP/1.1 200 OK\r\nBoragehill-Response-Stamp: s\r\n"
    "Content-Type: text/plain\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nBoragehill-Response-Stamp: s\r\n"
    "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nBoragehill-Response-Stamp: s\r\n"
    "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Boragehill-Response-Stamp: s\r\nContent-Length: 0\r\n\r\n"};

/// \return Beginnings of each head, none of them whole.
std::vector<std::string> cut_heads() {
  constexpr std::size_t step = 61;
  std::vector<std::string> cut;
  for (const auto& head : heads) {
    for (std::size_t size = 1; size < head.size(); size += step) {
      cut.push_back(head.substr(0, size));
    }
    cut.push_back(head.substr(0, head.size() - 1));
  }
  return cut;
}

/// A plain service one of whose servers stops in the middle of its answers'
/// heads and closes its connections.
class cut_head_test : public testing::Test {
 protected:
  cut_head_test()
      : fleet(1, 0, 1, 1),
        server({.address = "127.0.0.1"}, [this](const http::message_head&) {
          const std::scoped_lock lock(this->mutex);
          return server_answer_bytes{.head = this->head, .closes = true};
        }) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    constexpr int slots = 8;
    this->fleet.write_entry("i-cut", this->server.entry(slots));
  }

  void await_router() const {
    constexpr std::chrono::milliseconds read_by_the_router{1500};
    std::this_thread::sleep_for(read_by_the_router);
  }

  /// Sends a request, which the server answers with the beginning of a head.
  httplib::Result call(const std::string& cut, const std::string& path) {
    {
      const std::scoped_lock lock(this->mutex);
      this->head = cut;
    }
    return this->fleet.call(1, numbered("cut", ++this->calls), {}, path);
  }

  std::mutex mutex;
  std::string head;
  int calls = 0;
  small_fleet fleet;
  answering_server server;
};

// Guards against a head that is cut off and passed on as a complete answer.
TEST_F(cut_head_test, a_request_that_runs_once_fails) {
  this->fleet.forget_server("i-plain-1");
  this->await_router();
  for (const auto& cut : cut_heads()) {
    const auto answer = this->call(cut, "/plain/x");
    ASSERT_TRUE(answer) << cut;
    EXPECT_EQ(answer->status, 502) << cut << " made " << answer->body;
  }
}

// Guards against the same where the request can go to another server.
TEST_F(cut_head_test, a_request_that_may_run_again_is_answered_whole) {
  this->await_router();
  const auto cuts = cut_heads();
  ASSERT_TRUE(
      this->fleet.wait_for_retries(1, static_cast<double>(cuts.size())));
  for (const auto& cut : cuts) {
    const auto answer = this->call(cut, "/lookup/x");
    ASSERT_TRUE(answer) << cut;
    EXPECT_EQ(answer->status, 200) << cut;
    EXPECT_TRUE(answer->body.starts_with("plain answer to ")) << answer->body;
  }
}

}  // namespace
}  // namespace boragehill::fleet_test
