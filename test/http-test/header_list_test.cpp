#include "http/header_list.hpp"

#include <gtest/gtest.h>

#include "http/head_text.hpp"

namespace boragehill::http {
namespace {

TEST(header_list_test, finds_names_without_case) {
  header_list headers;
  headers.add("Host", "a");
  headers.add("Connection", "keep-alive, X-One");
  ASSERT_NE(headers.find("hOST"), nullptr);
  EXPECT_EQ(headers.find("None"), nullptr);
  EXPECT_TRUE(headers.has_token("connection", "x-one"));
  EXPECT_FALSE(headers.has_token("connection", "x-on"));
  EXPECT_TRUE(is_hop_by_hop("Transfer-encoding"));
  EXPECT_FALSE(is_hop_by_hop("Host"));
}

TEST(header_list_test, knows_an_event_stream_by_its_type) {
  for (const char* type : {"text/event-stream", "Text/Event-Stream",
                           " text/event-stream ; charset=utf-8"}) {
    header_list headers;
    headers.add("content-type", type);
    EXPECT_TRUE(is_event_stream(headers)) << type;
  }
  for (const char* type : {"", "text/plain", "text/event-streams"}) {
    header_list headers;
    headers.add("content-type", type);
    EXPECT_FALSE(is_event_stream(headers)) << type;
  }
  EXPECT_FALSE(is_event_stream({}));
}

TEST(header_list_test, writes_heads_and_chunks) {
  header_list headers;
  headers.add("A", "b");
  EXPECT_EQ(request_head("GET", "/x", headers),
            "GET /x HTTP/1.1\r\nA: b\r\n\r\n");
  EXPECT_EQ(answer_head(503, headers),
            "HTTP/1.1 503 Service Unavailable\r\nA: b\r\n\r\n");
  EXPECT_EQ(chunk("0123456789abcdef"), "10\r\n0123456789abcdef\r\n");
  EXPECT_EQ(chunk({}), "0\r\n\r\n");
}

}  // namespace
}  // namespace boragehill::http
