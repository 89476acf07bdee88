#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <boragehill/endpoint.hpp>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

/// The smallest router's memory.
constexpr long router_memory_kb = 160L * 1024;
/// A caller hears so soon that its response broke off; the deadline is later.
constexpr milliseconds soon{1500};

const std::string stamped_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    "Boragehill-Response-Stamp: s\r\n";
const std::string chunked_head =
    stamped_head + "Transfer-Encoding: chunked\r\n\r\n";

/// Sends bytes until the other end closes.
/// \return False if it hadn't when a limit was reached.
bool send_until_closed(int socket, const std::string& begin,
                       const std::string& piece) {
  constexpr std::size_t most_bytes = 400U << 20U;
  constexpr std::size_t block_bytes = 1U << 16U;
  std::string block = piece;
  while (block.size() < block_bytes) block += piece;
  ::send(socket, begin.data(), begin.size(), MSG_NOSIGNAL);
  for (std::size_t sent = 0; sent < most_bytes; sent += block.size()) {
    if (::send(socket, block.data(), block.size(), MSG_NOSIGNAL) < 0) {
      return true;
    }
  }
  return false;
}

/// Answers each request with bytes without end.
class endless_server {
 public:
  endless_server(std::string begin, std::string piece)
      : begin(std::move(begin)), piece(std::move(piece)) {
    this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&name);
    socklen_t size = sizeof(name);
    EXPECT_EQ(::bind(this->listener, raw, size), 0);
    EXPECT_EQ(::listen(this->listener, 8), 0);
    ::getsockname(this->listener, raw, &size);
    this->port = ntohs(name.sin_port);
    this->thread = std::thread([this] { this->serve(); });
  }

  ~endless_server() {
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    ::close(this->listener);
  }

  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  endpoint address() const { return {"127.0.0.1", this->port}; }
  int requests() const { return this->served; }
  /// \return Connections that nobody closed.
  int unclosed() const { return this->left_open; }

 private:
  void serve() {
    for (;;) {
      const int peer = ::accept(this->listener, nullptr, nullptr);
      if (peer < 0) return;
      char buffer[4096];
      if (::recv(peer, buffer, sizeof(buffer), 0) > 0) {
        ++this->served;
        if (!send_until_closed(peer, this->begin, this->piece)) {
          ++this->left_open;
        }
      }
      ::close(peer);
    }
  }

  std::string begin;
  std::string piece;
  int listener = -1;
  std::uint16_t port = 0;
  std::atomic<int> served = 0;
  std::atomic<int> left_open = 0;
  std::thread thread;
};

class endless_bytes_test : public testing::Test {
 protected:
  endless_bytes_test() : fleet(1, 0, 1, 1) {}

  void SetUp() override { ASSERT_TRUE(this->fleet.start()); }

  /// Expects a call that such a server gets to end soon, and the router to keep
  /// within its memory.
  void expect_bounded(const std::string& begin, const std::string& piece) {
    const endless_server server(begin, piece);
    this->list(server);
    milliseconds took{0};
    for (int tries = 0; tries < 250 && server.requests() == 0; ++tries) {
      const auto called = std::chrono::steady_clock::now();
      this->fleet.call(1, "asks", {}, "/stream/x");
      took = std::chrono::duration_cast<milliseconds>(
          std::chrono::steady_clock::now() - called);
      // The router doesn't know the server's address yet.
      if (server.requests() == 0) std::this_thread::sleep_for(milliseconds(20));
    }
    EXPECT_GE(server.requests(), 1);
    EXPECT_EQ(server.unclosed(), 0);
    EXPECT_LT(took, soon);
    this->expect_small();
  }

  /// Lists the server in the store.
  void list(const endless_server& server) {
    this->fleet.write_entry("i-endless",
                            R"({"service":"assist","zone":"zone-1","slots":8,)"
                            R"("state":"ready","seq":0,"models":[],"addr":")" +
                                server.address().to_string() + R"("})");
  }

  void expect_small() {
    EXPECT_LT(this->fleet["router-1"].status_of("VmHWM"), router_memory_kb);
  }

  small_fleet fleet;
};

// Guards against a router that keeps the trailer of a body until its memory is
// full.
TEST_F(endless_bytes_test, breaks_off_a_trailer_without_end) {
  this->expect_bounded(chunked_head + "2\r\nok\r\n0\r\n",
                       "a: bbbbbbbbbbbbbb\r\n");
}

TEST_F(endless_bytes_test, breaks_off_a_trailer_line_without_end) {
  this->expect_bounded(chunked_head + "2\r\nok\r\n0\r\na: ", "bbbbbbbb");
}

// Guards against a caller that waits until its deadline, since what never ends
// is read on.
TEST_F(endless_bytes_test, breaks_off_a_chunk_extension_without_end) {
  this->expect_bounded(chunked_head + "2;x=", "yyyyyyyy");
}

TEST_F(endless_bytes_test, breaks_off_line_ends_without_end) {
  this->expect_bounded("", "\r\n");
}

TEST_F(endless_bytes_test, breaks_off_a_head_without_end) {
  this->expect_bounded(stamped_head, "a: bbbbbbbbbbbbbb\r\n");
}

TEST_F(endless_bytes_test, breaks_off_interim_responses_without_end) {
  this->expect_bounded("", "HTTP/1.1 103 Early Hints\r\n\r\n");
}

TEST_F(endless_bytes_test, breaks_off_responses_to_others_without_end) {
  this->expect_bounded("",
                       "HTTP/1.1 200 OK\r\nBoragehill-Attempt-Id: other\r\n"
                       "Content-Length: 2\r\n\r\nok");
}

TEST_F(endless_bytes_test, breaks_off_a_reason_phrase_without_end) {
  this->expect_bounded("HTTP/1.1 200 ", "xxxxxxxx");
}

TEST_F(endless_bytes_test, breaks_off_a_field_without_end) {
  this->expect_bounded(stamped_head + "a: ", "bbbbbbbb");
}

TEST_F(endless_bytes_test, breaks_off_an_event_without_end) {
  this->expect_bounded(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Boragehill-Response-Stamp: s\r\n\r\n",
      "data: x\n");
}

// Guards against a router that keeps what its caller doesn't read.
TEST_F(endless_bytes_test, keeps_little_of_a_body_that_nobody_reads) {
  const endless_server server(stamped_head + "\r\n", "xxxxxxxx");
  this->list(server);
  const std::string request =
      "POST /stream/x HTTP/1.1\r\nHost: valves.example\r\n"
      "Boragehill-Attempt-Id: unread\r\nBoragehill-Deadline-Ms: 1000\r\n"
      "Content-Length: 1\r\n\r\n?";
  std::this_thread::sleep_for(milliseconds(1500));
  const int socket = this->fleet.connect(1);
  ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
  std::this_thread::sleep_for(milliseconds(1500));
  ::close(socket);
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(server.unclosed(), 0);
  this->expect_small();
}

// Guards against a request that isn't sent to another server, since the body of
// a rejection never ends.
TEST_F(endless_bytes_test, takes_a_rejection_without_the_end_of_its_body) {
  this->expect_bounded("HTTP/1.1 503 Full\r\nBoragehill-Not-Run: 1\r\n\r\n",
                       "xxxxxxxx");
}

// Guards against a caller that fills a router's memory.
TEST_F(endless_bytes_test, closes_on_a_callers_trailer_without_end) {
  const int socket = this->fleet.connect(1);
  EXPECT_TRUE(
      send_until_closed(socket,
                        "POST /plain/x HTTP/1.1\r\nHost: valves.example\r\n"
                        "Boragehill-Attempt-Id: asks\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
                        "a: bbbbbbbbbbbbbb\r\n"));
  ::close(socket);
  this->expect_small();
}

}  // namespace
}  // namespace boragehill::fleet_test
