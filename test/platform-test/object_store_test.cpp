#include <gtest/gtest.h>
#include <memory>

#include <boragehill/object_store.hpp>
#include <boragehill/result_code.hpp>

#include "kernel/plugin_settings.hpp"
#include "kernel/registry.hpp"
#include "platform-test/scripted_server.hpp"

namespace boragehill {
namespace {

using test::after_bytes;
using test::answer;
using test::script;
using test::scripted_server;

std::unique_ptr<object_store> store_at(const endpoint& address) {
  auto made = kernel::registry<object_store>::instance().make(
      "http", {.address = address, .timeout = milliseconds{400}});
  return std::move(made.value());
}

TEST(object_store_test, gets_a_whole_object) {
  scripted_server server(answer(200, std::string("a\0b", 3)));
  const auto value = store_at(server.address())->get("answers/r 1?#%");
  ASSERT_TRUE(value);
  EXPECT_EQ(value.value(), std::string("a\0b", 3));
  EXPECT_TRUE(server.requests().at(0).starts_with(
      "GET /objects/answers/r%201%3F%23%25 HTTP/1.1"));
}

TEST(object_store_test, finds_nothing_where_no_object_stands) {
  scripted_server server(answer(404, ""));
  const auto store = store_at(server.address());
  EXPECT_FALSE(store->get("a").value());
  EXPECT_TRUE(store->remove("a"));
}

TEST(object_store_test, puts_an_object) {
  scripted_server server(answer(204, ""));
  EXPECT_TRUE(store_at(server.address())->put("a", "value"));
  EXPECT_TRUE(server.requests().at(0).ends_with("\r\n\r\nvalue"));
}

TEST(object_store_test, names_each_refusal) {
  scripted_server busy(answer(429, ""));
  EXPECT_EQ(store_at(busy.address())->get("a").error(),
            result_code::platform_throttled);
  scripted_server down(answer(503, ""));
  EXPECT_EQ(store_at(down.address())->put("a", "v").error(),
            result_code::platform_down);
  const auto gone = store_at(test::closed_address());
  EXPECT_EQ(gone->put("a", "v").error(), result_code::platform_down);
  EXPECT_EQ(gone->get("a").error(), result_code::platform_down);
}

TEST(object_store_test, never_takes_a_cut_object_for_whole) {
  // A resent order asks for the answer kept in the store; the store dies in
  // the middle of it. Half of a quote must not reach the co-op as the quote.
  const script half{.bytes = "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf",
                    .then = after_bytes::cut};
  scripted_server server(half);
  const auto store = store_at(server.address());
  EXPECT_EQ(store->get("a").error(), result_code::platform_down);
  EXPECT_EQ(store->put("a", "v").error(), result_code::platform_answer_lost);
  EXPECT_EQ(store->remove("a").error(), result_code::platform_down);
}

TEST(object_store_test, loses_the_answer_when_cut_while_sending) {
  // The store dies while a large answer goes up to it. What arrived may have
  // been kept, so the caller must hear "answer lost" and not "down", which
  // would promise that nothing was written.
  scripted_server server({.bytes = "",
                          .then = after_bytes::cut,
                          .read = test::request_read::first_byte});
  const std::string large(32U << 20U, 'x');
  EXPECT_EQ(store_at(server.address())->put("a", large).error(),
            result_code::platform_answer_lost);
}

}  // namespace
}  // namespace boragehill
