#include "http/message_parser.hpp"

#include <gtest/gtest.h>

namespace boragehill::http {
namespace {

constexpr std::size_t head_limit = 200;

TEST(message_parser_test, reads_a_request_in_pieces_up_to_its_exact_end) {
  message_parser parser(message_kind::request, head_limit);
  const std::string text =
      "POST /a/b?c HTTP/1.1\r\nHost: X\r\nContent-Length: 5\r\n\r\nhelloGET ";
  std::string rest = text;
  std::string body;
  while (!parser.complete()) {
    const auto used = parser.feed(rest.substr(0, 1));
    rest.erase(0, used);
    body += parser.take_body();
  }
  EXPECT_EQ(parser.head().method, "POST");
  EXPECT_EQ(parser.head().target, "/a/b?c");
  EXPECT_EQ(parser.head().content_length, 5U);
  EXPECT_EQ(body, "hello");
  EXPECT_EQ(rest, "GET ");
  parser.next();
  EXPECT_EQ(parser.feed("GET / HTTP/1.1\r\n\r\n"), 18U);
  EXPECT_TRUE(parser.complete());
}

TEST(message_parser_test, refuses_a_request_with_both_lengths) {
  // A request smuggled in another one: two readers that each believe another
  // length see another end, and the bytes between become a request of their
  // own.
  message_parser parser(message_kind::request, head_limit);
  parser.feed(
      "POST / HTTP/1.1\r\nContent-Length: 5\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  EXPECT_TRUE(parser.failed());
}

TEST(message_parser_test, refuses_what_is_no_request) {
  for (const char* text :
       {"nonsense\r\n\r\n", "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"}) {
    message_parser parser(message_kind::request, head_limit);
    parser.feed(text);
    EXPECT_TRUE(parser.failed()) << text;
  }
}

TEST(message_parser_test, tells_a_head_that_is_too_large) {
  message_parser parser(message_kind::request, head_limit);
  parser.feed("GET / HTTP/1.1\r\nA: " + std::string(head_limit, 'x'));
  EXPECT_TRUE(parser.failed());
  EXPECT_TRUE(parser.head_too_large());
}

TEST(message_parser_test, ends_an_answer_without_length_with_its_connection) {
  message_parser parser(message_kind::answer, head_limit);
  parser.feed("HTTP/1.1 200 OK\r\n\r\nsome");
  EXPECT_TRUE(parser.ends_with_connection());
  EXPECT_FALSE(parser.complete());
  EXPECT_TRUE(parser.finish());
  EXPECT_EQ(parser.take_body(), "some");
}

TEST(message_parser_test, takes_no_cut_answer_for_a_whole_one) {
  // A server breaks off in the middle: the caller must not get the first half
  // as if it were all.
  for (const char* text : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                           "\r\n\r\n4\r\nhalf\r\n",
                           "HTTP/1.1 200 OK\r\nA: b"}) {
    message_parser parser(message_kind::answer, head_limit);
    parser.feed(text);
    EXPECT_FALSE(parser.finish()) << text;
    EXPECT_FALSE(parser.complete()) << text;
  }
}

TEST(message_parser_test, takes_no_cut_head_for_a_whole_answer) {
  // Guards against a head that its server breaks off, at any byte, and an empty
  // answer that is made of it.
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Type: text/event-stream\n\n",
        "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n"}) {
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
      for (const bool in_pieces : {false, true}) {
        message_parser parser(message_kind::answer, head_limit);
        if (in_pieces) parser.feed(head.substr(0, cut / 2));
        const auto rest = in_pieces ? cut / 2 : 0;
        parser.feed(head.substr(rest, cut - rest));
        EXPECT_FALSE(parser.finish()) << head.substr(0, cut);
        EXPECT_FALSE(parser.complete()) << head.substr(0, cut);
      }
    }
  }
}

TEST(message_parser_test, reads_chunks_and_leaves_trailers_out) {
  message_parser parser(message_kind::answer, head_limit);
  parser.feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n1\r\nc\r\n0\r\nT: x\r\n\r\n");
  EXPECT_TRUE(parser.complete());
  EXPECT_EQ(parser.take_body(), "abc");
  EXPECT_EQ(parser.head().headers.find("T"), nullptr);
}

TEST(message_parser_test, expects_no_body_where_told) {
  message_parser parser(message_kind::answer, head_limit);
  parser.expect_no_body();
  parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  EXPECT_TRUE(parser.complete());
}

// Guards against bytes without end that belong neither to the head nor to the
// body, and that fill the memory or keep the connection for good.
TEST(message_parser_test, refuses_framing_without_end) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
  for (const std::string& begin :
       {std::string(), head + "0\r\n", head + "0\r\na: ", head + "2;x="}) {
    message_parser parser(message_kind::answer, head_limit);
    parser.feed(begin);
    const std::string piece = begin.ends_with("0\r\n") ? "a: b\r\n"
                              : begin.empty()          ? "\r\n"
                                                       : "y";
    std::size_t fed = 0;
    while (!parser.failed() && fed <= 3 * head_limit) {
      fed += parser.feed(piece);
    }
    EXPECT_TRUE(parser.failed()) << begin;
  }
}

TEST(message_parser_test, reads_many_chunks_and_a_trailer) {
  message_parser parser(message_kind::answer, head_limit);
  parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (std::size_t each = 0; each < head_limit; ++each) {
    parser.feed("1\r\nx\r\n");
  }
  parser.feed("0\r\nChecksum: 1\r\n\r\n");
  EXPECT_TRUE(parser.complete());
  EXPECT_EQ(parser.take_body(), std::string(head_limit, 'x'));
}

// Guards against bytes that are no answer, taken for one since only the value
// of a status is looked at.
TEST(message_parser_test, refuses_an_invalid_status_line) {
  for (const char* line :
       {"HTTP/1.1 000 X", "HTTP/1.1 0 X", "HTTP/1.1 99 X", "HTTP/1.1 099 X",
        "HTTP/1.1 0200 X", "HTTP/1.1 2 0 0 X", "HTTP/1.1 600 X",
        "HTTP/1.1 999 X", "HTTP/1.1 2000 X", "HTTP/1.1 -20 X",
        "HTTP/1.1  200 X", "HTTP/1.1 200X", "HTTP/1.1", "HTTP/0.9 200 X",
        "HTTP/2.0 200 X", "HTTP/1.10 200 X", "http/1.1 200 X", "200 OK"}) {
    for (const std::size_t piece : {1, 5, 1000}) {
      message_parser parser(message_kind::answer, head_limit);
      std::string rest = std::string(line) + "\r\nContent-Length: 2\r\n\r\nok";
      while (!rest.empty() && !parser.failed()) {
        rest.erase(0, parser.feed(rest.substr(0, piece)));
      }
      EXPECT_TRUE(parser.failed()) << line;
      EXPECT_FALSE(parser.head_complete()) << line;
      EXPECT_TRUE(parser.take_body().empty()) << line;
    }
  }
}

// Guards against a line that frames the message for the parser alone, or is
// passed on as a field though it is none.
TEST(message_parser_test, refuses_an_invalid_field) {
  for (const auto kind : {message_kind::request, message_kind::answer}) {
    const std::string start = kind == message_kind::request
                                  ? "POST / HTTP/1.1\r\n"
                                  : "HTTP/1.1 200 OK\r\n";
    for (const char* field :
         {"X Y: v\r\n", "X : v\r\n", " X: v\r\n", "\tX: v\r\n", "X\t: v\r\n",
          "X\x01: v\r\n", "X\x7f: v\r\n", "X\x80: v\r\n", "X(: v\r\n",
          ": v\r\n", "X\r\n", "X: \x01\r\n", "X: v\x7f\r\n", "X: v\rY: v\r\n",
          "X: v\r\n\rY", "Content-Length : 2\r\n",
          "Transfer-Encoding : chunked\r\n"}) {
      for (const std::size_t piece : {1, 5, 1000}) {
        message_parser parser(kind, head_limit);
        std::string rest = start + field + "Content-Length: 2\r\n\r\nok";
        while (!rest.empty() && !parser.failed()) {
          rest.erase(0, parser.feed(rest.substr(0, piece)));
        }
        EXPECT_TRUE(parser.failed()) << field;
        EXPECT_FALSE(parser.head_complete()) << field;
        EXPECT_TRUE(parser.take_body().empty()) << field;
      }
    }
  }
}

// Guards against a head of short fields, each of which takes many times its
// bytes in memory.
TEST(message_parser_test, refuses_hundreds_of_fields) {
  constexpr int most_fields = 256;
  std::string head = "GET / HTTP/1.1\r\n";
  for (int each = 0; each < most_fields; ++each) head += "a: \r\n";
  constexpr std::size_t wide_limit = 65536;
  message_parser parser(message_kind::request, wide_limit);
  parser.feed(head + "\r\n");
  EXPECT_TRUE(parser.complete());
  parser.next();
  parser.feed(head + "a: \r\n");
  EXPECT_TRUE(parser.failed());
  EXPECT_TRUE(parser.head_too_large());
}

// Guards against a body that is passed on without the name of its coding.
TEST(message_parser_test, refuses_a_coding_other_than_chunks) {
  for (const auto kind : {message_kind::request, message_kind::answer}) {
    const std::string start = kind == message_kind::request
                                  ? "POST / HTTP/1.1\r\n"
                                  : "HTTP/1.1 200 OK\r\n";
    for (const char* coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
          "xchunked", "chunkedx", "\"chunked\"", "identity", ""}) {
      message_parser parser(kind, head_limit);
      parser.feed(start + "Transfer-Encoding: " + coding +
                  "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
      EXPECT_TRUE(parser.failed()) << coding;
      EXPECT_FALSE(parser.head_complete()) << coding;
    }
    for (const char* coding : {"chunked", "Chunked", "chunked "}) {
      message_parser parser(kind, head_limit);
      parser.feed(start + "Transfer-Encoding: " + coding +
                  "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
      EXPECT_TRUE(parser.complete()) << coding;
      EXPECT_EQ(parser.take_body(), "ok") << coding;
    }
  }
}

TEST(message_parser_test, reads_valid_fields) {
  for (const char* field :
       {"X:v\r\n", "X: \tv \r\n", "X:\r\n", "!#$%&'*+-.^_`|~09azAZ: v\r\n",
        "X: v\x80\xff\r\n", "X: v\n", "X: v\r\n  goes on\r\n"}) {
    message_parser parser(message_kind::answer, head_limit);
    parser.feed("HTTP/1.1 200 OK\r\n" + std::string(field) +
                "Content-Length: 2\r\n\r\nok");
    EXPECT_TRUE(parser.complete()) << field;
    EXPECT_EQ(parser.head().headers.all().size(), 2U) << field;
    EXPECT_EQ(parser.take_body(), "ok") << field;
  }
}

TEST(message_parser_test, reads_valid_status_lines) {
  for (const char* line : {"HTTP/1.1 200 OK", "HTTP/1.0 599 X", "HTTP/1.1 404",
                           "HTTP/1.1 201 ", "\r\n\r\nHTTP/1.1 200 OK"}) {
    message_parser parser(message_kind::answer, head_limit);
    parser.feed(std::string(line) + "\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_TRUE(parser.complete()) << line;
    EXPECT_EQ(parser.take_body(), "ok") << line;
  }
}

// Guards against bytes behind an interim response that count as its body.
TEST(message_parser_test, reads_no_body_of_an_interim_response) {
  const std::string head =
      "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n";
  message_parser parser(message_kind::answer, head_limit);
  EXPECT_EQ(parser.feed(head + "ok"), head.size());
  EXPECT_TRUE(parser.complete());
  EXPECT_TRUE(parser.take_body().empty());
}

}  // namespace
}  // namespace boragehill::http
