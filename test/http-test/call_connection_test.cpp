#include "http/call_connection.hpp"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>

#include <boragehill/result_code.hpp>

#include "platform-test/scripted_server.hpp"

namespace boragehill::http {
namespace {

constexpr milliseconds limit{1000};

/// \return What a call gets from a server that sends these bytes and closes.
result<whole_answer> answer_of(const std::string& bytes) {
  test::scripted_server server(
      {.bytes = bytes, .then = test::after_bytes::cut});
  asio::io_context context;
  const auto call =
      std::make_shared<call_connection>(context, server.address());
  std::optional<result<whole_answer>> got;
  call->call("GET /x HTTP/1.1\r\n\r\n", limit,
             [&got](const result<whole_answer>& answer) { got = answer; });
  context.run();
  return *got;
}

// Guards against status checks of a living server that count as unanswered
// since their responses end with the connection.
TEST(call_connection_test, takes_an_answer_that_ends_with_its_connection) {
  const auto answer = answer_of("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.value().head.status, 200);
  EXPECT_EQ(answer.value().body, "body");
}

TEST(call_connection_test, takes_no_answer_that_ends_inside_its_frame) {
  for (const char* bytes :
       {"HTTP/1.1 200 OK\r\nA: b",
        "HTTP/1.1 200 OK\r\nContent-Length: 9"
        "\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf"}) {
    const auto answer = answer_of(bytes);
    ASSERT_FALSE(answer) << bytes;
    EXPECT_EQ(answer.error(), result_code::platform_answer_lost) << bytes;
  }
}

// Guards against a part of a response that counts as all of it, since its peer
// reset the connection while the request was still being written.
TEST(call_connection_test, takes_no_answer_that_a_reset_cut_off) {
  test::scripted_server server({.bytes = "HTTP/1.1 200 OK\r\n\r\npart",
                                .then = test::after_bytes::cut,
                                .read = test::request_read::first_byte});
  // More than the socket buffers of both ends hold.
  constexpr std::size_t request_bytes = 16U << 20U;
  asio::io_context context;
  const auto call =
      std::make_shared<call_connection>(context, server.address());
  std::optional<result<whole_answer>> got;
  call->call(std::string(request_bytes, 'x'), limit,
             [&got](const result<whole_answer>& answer) { got = answer; });
  context.run();
  ASSERT_TRUE(got);
  ASSERT_FALSE(*got);
  EXPECT_EQ(got->error(), result_code::platform_answer_lost);
}

// Guards against an order that counts as refused, though its answer was none
// and it may have been carried out.
TEST(call_connection_test, takes_no_answer_without_a_final_status) {
  for (const char* status : {"000", "099", "100", "101", "600", "999"}) {
    const auto answer = answer_of("HTTP/1.1 " + std::string(status) +
                                  " X\r\nContent-Length: 0\r\n\r\n");
    ASSERT_FALSE(answer) << status;
    EXPECT_EQ(answer.error(), result_code::platform_answer_lost) << status;
  }
}

// Guards against a body without end that fills the memory of who asked.
TEST(call_connection_test, breaks_off_a_body_that_is_too_long) {
  constexpr std::size_t too_long = 8U << 20U;
  test::scripted_server server(
      {.bytes = "HTTP/1.1 200 OK\r\n\r\n" + std::string(too_long, 'x')});
  asio::io_context context;
  const auto call =
      std::make_shared<call_connection>(context, server.address());
  std::optional<result<whole_answer>> got;
  const auto begin = time_point::clock::now();
  call->call("GET /x HTTP/1.1\r\n\r\n", limit,
             [&got](const result<whole_answer>& answer) { got = answer; });
  context.run();
  ASSERT_FALSE(*got);
  EXPECT_EQ(call->failure(), call_failure::malformed);
  EXPECT_LT(call->received(), too_long);
  EXPECT_LT(time_point::clock::now() - begin, limit);
}

}  // namespace
}  // namespace boragehill::http
