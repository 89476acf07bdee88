#include <array>
#include <cerrno>
#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "fleet-test/small_fleet.hpp"
#include "fleet-test/whole_stream.hpp"
#include "http/head_text.hpp"
#include "platform-test/scripted_server.hpp"

namespace boragehill::fleet_test {
namespace {

constexpr auto no_frame = R"({"kind":"unframed"})";
constexpr auto cut_next = R"({"kind":"cut_stream"})";
const std::string resumable = "/stream/r/x";
const std::string run_once = "/stream/x";

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Boragehill-Response-Stamp: s\r\n";
const std::string two_events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string unfinished = two_events + "id: 3\nda";

const std::string resumable_request =
    "POST " + resumable +
    " HTTP/1.1\r\nHost: valves.example\r\nConnection: close\r\n"
    "Boragehill-Attempt-Id: asks\r\nBoragehill-Deadline-Ms: 3000\r\n"
    "Content-Length: 0\r\n\r\n";

std::string without_frame(const std::string& body) {
  return stream_head + "\r\n" + body;
}

std::string with_length(const std::string& body) {
  return stream_head + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string in_chunks(const std::string& body) {
  return stream_head + "Transfer-Encoding: chunked\r\n\r\n" +
         http::chunk(body) + http::chunk({});
}

/// A fleet with one model worker.
class stream_end_test : public testing::Test {
 protected:
  stream_end_test() : fleet(1, 1, 1, 1) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    ASSERT_TRUE(this->fleet.wait_for_retries(1, 1, "assist"));
  }

  httplib::Result call(const std::string& path) {
    return this->fleet.call(1, "asks", "model-1", path);
  }

  small_fleet fleet;
};

// Guards against a broken stream without a length or chunks that is passed on
// as complete.
TEST_F(stream_end_test, resumes_an_unframed_stream_that_ends_inside_an_event) {
  this->fleet.fault("worker-1", no_frame);
  this->fleet.fault("worker-1", cut_next);
  expect_whole_stream(this->call(resumable), "asks");
}

// Guards against the same where the frame is complete.
TEST_F(stream_end_test, resumes_a_framed_stream_that_ends_inside_an_event) {
  this->fleet.fault("worker-1", cut_next);
  expect_whole_stream(this->call(resumable), "asks");
}

TEST_F(stream_end_test, passes_on_a_complete_unframed_stream_once) {
  this->fleet.fault("worker-1", no_frame);
  for (const auto& path : {run_once, resumable}) {
    expect_whole_stream(this->call(path), "asks");
  }
  EXPECT_EQ(this->fleet.runs_of("asks"), 2);
}

/// What a caller of HTTP/1.0 got, to which an answer without a length ends with
/// the connection.
struct plain_bytes {
  std::string bytes;
  bool reset = false;
};

plain_bytes call_by_http10(small_fleet& fleet) {
  const std::string request =
      "POST " + run_once +
      " HTTP/1.0\r\nHost: valves.example\r\n"
      "Boragehill-Attempt-Id: asks\r\nBoragehill-Model: model-1\r\n"
      "Content-Length: 0\r\n\r\n";
  const int socket = fleet.connect(1);
  ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
  plain_bytes got;
  std::array<char, 4096> buffer{};
  ssize_t size = 1;
  while (size > 0) {
    size = ::recv(socket, buffer.data(), buffer.size(), 0);
    if (size > 0) got.bytes.append(buffer.data(), static_cast<size_t>(size));
  }
  got.reset = size < 0 && errno == ECONNRESET;
  ::close(socket);
  return got;
}

TEST_F(stream_end_test, sends_a_caller_of_http_1_0_no_chunks) {
  const auto got = call_by_http10(this->fleet);
  EXPECT_FALSE(got.reset);
  const auto body = got.bytes.substr(got.bytes.find("\r\n\r\n") + 4);
  EXPECT_TRUE(body.starts_with("id: 1\ndata: asks\n\n")) << got.bytes;
  EXPECT_TRUE(body.ends_with("id: 8\ndata: asks\n\n")) << got.bytes;
  EXPECT_EQ(got.bytes.find("chunked"), std::string::npos) << got.bytes;
}

// Guards against a broken stream that looks complete to a caller of HTTP/1.0.
TEST_F(stream_end_test, resets_a_broken_stream_of_a_caller_of_http_1_0) {
  this->fleet.fault("worker-1", cut_next);
  EXPECT_TRUE(call_by_http10(this->fleet).reset);
}

/// A fleet whose first worker is killed under a stream without a frame. The
/// kernel ends its connections in order.
class killed_worker_test : public testing::Test {
 protected:
  killed_worker_test() : fleet(1, 2, 1, 2) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    ASSERT_TRUE(this->fleet.wait_for_retries(1, 1, "assist"));
    for (const char* worker : {"worker-1", "worker-2"}) {
      this->fleet.fault(worker, no_frame);
      this->fleet.fault(worker, R"({"kind":"slow_events","ms":150})");
    }
  }

  httplib::Result call(const std::string& path) {
    auto answer = std::async(std::launch::async, [this, path] {
      return this->fleet.call(1, "asks", "model-1", path);
    });
    constexpr std::chrono::milliseconds between_events{600};
    std::this_thread::sleep_for(between_events);
    this->fleet["worker-1"].kill();
    return answer.get();
  }

  small_fleet fleet;
};

// Guards against a stream without a frame that passes for complete when its
// server is killed between two events.
TEST_F(killed_worker_test, an_unframed_stream_goes_on_elsewhere) {
  expect_whole_stream(this->call(resumable), "asks");
}

// Guards against the same where the stream may not go on.
TEST_F(killed_worker_test, an_unframed_stream_that_runs_once_breaks_off) {
  const auto answer = this->call(run_once);
  EXPECT_FALSE(answer) << answer->body;
}

/// A server that sends certain bytes and closes the connection, and what a
/// caller gets of them.
class scripted_stream_test : public testing::Test {
 protected:
  scripted_stream_test() : fleet(1, 0, 1, 1) {}

  void SetUp() override { ASSERT_TRUE(this->fleet.start()); }

  void list(const test::scripted_server& server) {
    this->fleet.write_entry("i-scripted",
                            R"({"service":"assist","zone":"zone-1","slots":8,)"
                            R"("state":"ready","seq":0,"models":[],"addr":")" +
                                server.address().to_string() + R"("})");
  }

  httplib::Result call(const std::string& bytes,
                       test::after_bytes then = test::after_bytes::cut) {
    test::scripted_server server({.bytes = bytes, .then = then});
    this->list(server);
    for (int tries = 0; tries < 250; ++tries) {
      auto answer = this->fleet.call(1, "asks", {}, run_once);
      // The router doesn't know the server's address yet.
      if (server.requests().empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        continue;
      }
      return answer;
    }
    ADD_FAILURE() << "never sent: " << bytes;
    return this->fleet.call(1, "asks", {}, run_once);
  }

  small_fleet fleet;
};

// Guards against a broken stream that reaches its caller as complete, whatever
// its frame.
TEST_F(scripted_stream_test, breaks_off_what_ends_inside_an_event) {
  for (const auto& bytes : {without_frame(unfinished), with_length(unfinished),
                            in_chunks(unfinished)}) {
    const auto answer = this->call(bytes);
    EXPECT_FALSE(answer) << bytes << "\nbrought\n" << answer->body;
  }
}

// Guards against a stream that ends with its connection before its first event
// and reaches its caller as complete.
TEST_F(scripted_stream_test, breaks_off_an_unframed_stream_without_events) {
  const auto answer = this->call(without_frame({}));
  EXPECT_FALSE(answer);
}

// Guards against an event without an end that fills the router's memory.
TEST_F(scripted_stream_test, breaks_off_an_event_that_is_too_long) {
  constexpr std::size_t too_long = (1U << 20U) + 1;
  const auto begin = std::chrono::steady_clock::now();
  const auto answer =
      this->call(without_frame("data: " + std::string(too_long, 'x')),
                 test::after_bytes::keep_open);
  EXPECT_FALSE(answer);
  // The router's own limit is the deadline of the request.
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(3));
}

// Guards against events that come twice: a run that should go on behind the
// last event begins anew.
TEST_F(scripted_stream_test, passes_on_no_event_twice) {
  ASSERT_TRUE(this->fleet.wait_for_retries(1, 1, "assist"));
  test::scripted_server server(
      {.bytes = in_chunks(unfinished), .then = test::after_bytes::cut});
  this->list(server);
  std::string bytes;
  // The router may not know the server's address yet.
  for (int tries = 0; tries < 250 && server.requests().empty(); ++tries) {
    bytes = this->fleet.raw(1, resumable_request);
  }
  const std::string first = "id: 1\n";
  EXPECT_NE(bytes.find(first), std::string::npos) << bytes;
  EXPECT_EQ(bytes.find(first), bytes.rfind(first)) << bytes;
}

TEST_F(scripted_stream_test, passes_on_complete_streams) {
  for (const std::string& body : {two_events, two_events + ": comment"}) {
    for (const auto& bytes :
         {without_frame(body), with_length(body), in_chunks(body)}) {
      const auto answer = this->call(bytes);
      ASSERT_TRUE(answer) << bytes;
      EXPECT_EQ(answer->status, 200) << bytes;
      EXPECT_EQ(answer->body, body) << bytes;
    }
  }
  const auto answer = this->call(in_chunks({}));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body, "");
}

}  // namespace
}  // namespace boragehill::fleet_test
