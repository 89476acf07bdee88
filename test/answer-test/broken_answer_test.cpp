#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fleet-test/answering_server.hpp"
#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

/// Part of each answer's body, so that a caller that gets any of it is seen.
const std::string body_mark = "from-the-server";
const std::string stamp = "Boragehill-Response-Stamp: s\r\n";
const std::string framed_body =
    "Content-Length: " + std::to_string(body_mark.size()) + "\r\n\r\n" +
    body_mark;

/// A plain service whose servers answer with bytes that a test chooses.
class broken_answer_test : public testing::Test {
 protected:
  broken_answer_test() : fleet(1, 0, 1, 1) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    this->fleet.forget_server("i-plain-1");
  }

  /// Sends as many requests as there are answers, each of which a server of its
  /// own sends; a server that has failed gets no request for a while. Expects
  /// that callers get none of these bytes and hear so soon.
  void expect_refused(const std::vector<std::string>& answers) {
    std::atomic<std::size_t> sent = 0;
    std::vector<std::unique_ptr<answering_server>> servers;
    for (const auto& bytes : answers) {
      servers.push_back(std::make_unique<answering_server>(
          endpoint{.address = "127.0.0.1"},
          [&bytes, &sent, asked = false](const http::message_head&) mutable {
            if (!std::exchange(asked, true)) ++sent;
            return server_answer_bytes{.head = bytes, .closes = true};
          }));
      this->fleet.write_entry(
          numbered("i-broken", static_cast<int>(servers.size())),
          servers.back()->entry(1));
    }
    constexpr std::chrono::milliseconds read_by_the_router{1500};
    std::this_thread::sleep_for(read_by_the_router);
    for (std::size_t each = 0; each < answers.size(); ++each) {
      this->expect_refused(numbered("broken", static_cast<int>(each)));
    }
    EXPECT_EQ(sent, answers.size());
  }

  void expect_refused(const std::string& attempt) {
    constexpr std::chrono::milliseconds soon{500};
    const auto begin = std::chrono::steady_clock::now();
    // Equal requests would be held to crash their servers.
    const auto got = this->fleet.raw(
        1,
        "POST /plain/x HTTP/1.1\r\nHost: valves.example\r\n"
        "Boragehill-Attempt-Id: " +
            attempt +
            "\r\nBoragehill-Deadline-Ms: 2000\r\nConnection: close\r\n"
            "Content-Length: " +
            std::to_string(attempt.size()) + "\r\n\r\n" + attempt);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, soon);
    EXPECT_TRUE(got.starts_with("HTTP/1.1 502 ")) << got;
    EXPECT_EQ(got.find(body_mark), std::string::npos) << got;
  }

  small_fleet fleet;
};

/// \return An answer with a length whose head begins so.
std::string answer_after(const std::string& beginning) {
  return beginning + "\r\n" + stamp + framed_body;
}

/// \return The same, with a body that ends with its connection.
std::string open_answer_after(const std::string& beginning) {
  return beginning + "\r\n" + stamp + "\r\n" + body_mark;
}

// Guards against an answer that is passed on under a status that is none, and
// against its body in the place of a status line.
TEST_F(broken_answer_test, passes_on_no_answer_without_a_valid_status) {
  std::vector<std::string> answers;
  for (const char* line :
       {"HTTP/1.1 000 Trouble", "HTTP/1.1 0 Trouble", "HTTP/1.1 099 Trouble",
        "HTTP/1.1 20 OK", "HTTP/1.1 2 0 0", "HTTP/1.1 0200 OK",
        "HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.1  200 OK",
        "HTTP/0.9 200 OK", "HTTP/2.0 200 OK"}) {
    answers.push_back(answer_after(line));
  }
  answers.push_back(open_answer_after("HTTP/1.1 000 Trouble"));
  this->expect_refused(answers);
}

// Guards against bytes behind an interim response that reach a caller, though
// such a response has no body.
TEST_F(broken_answer_test, passes_on_no_body_of_an_interim_response) {
  std::vector<std::string> answers;
  for (const char* line :
       {"HTTP/1.1 100 Continue", "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 103 Early Hints", "HTTP/1.1 199 Trouble"}) {
    answers.push_back(answer_after(line));
    answers.push_back(open_answer_after(line));
  }
  this->expect_refused(answers);
}

// Guards against a line that is no field, passed on as one.
TEST_F(broken_answer_test, passes_on_no_invalid_field) {
  std::vector<std::string> answers;
  for (const char* field : {"X Y: v", "X-Odd : v", " X: v", "\tX: v", "X\tY: v",
                            "X\t: v", "X\x01Y: v", "\x7fX: v", "X\x80Y: v",
                            ": v", "X", "X: \x01", "X: v\x01", "X: v\rY: v"}) {
    answers.push_back(answer_after(std::string("HTTP/1.1 200 OK\r\n") + field));
  }
  this->expect_refused(answers);
}

// Guards against a body whose end is elsewhere for the parser than for others.
TEST_F(broken_answer_test, passes_on_no_body_framed_by_an_invalid_field) {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string chunk = "\r\n\r\nf\r\n" + body_mark + "\r\n0\r\n\r\n";
  std::vector<std::string> answers{start + stamp + "Content-Length: 4\r\n\rX" +
                                   body_mark};
  for (const char* field :
       {"Content-Length : 4", "Content Length: 4",
        "Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked"}) {
    answers.push_back((start + stamp).append(field).append(chunk));
  }
  this->expect_refused(answers);
}

// Guards against a body that is passed on without the name of its coding.
TEST_F(broken_answer_test, passes_on_no_body_in_an_unknown_coding) {
  std::vector<std::string> answers;
  for (const char* coding : {"gzip", "gzip, chunked", "xchunked", ""}) {
    answers.push_back(open_answer_after(
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") + coding));
  }
  this->expect_refused(answers);
}

}  // namespace
}  // namespace boragehill::fleet_test
