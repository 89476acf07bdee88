#include <chrono>
#include <gtest/gtest.h>
#include <memory>

#include <boragehill/result_code.hpp>
#include <boragehill/table_row.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/table_write.hpp>

#include "kernel/json_text.hpp"
#include "kernel/plugin_settings.hpp"
#include "kernel/registry.hpp"
#include "platform-test/scripted_server.hpp"

namespace boragehill {
namespace {

using test::after_bytes;
using test::answer;
using test::script;
using test::scripted_server;

constexpr milliseconds timeout{400};

std::unique_ptr<table_service> table_at(const endpoint& address) {
  auto made = kernel::registry<table_service>::instance().make(
      "http", {.address = address, .timeout = timeout});
  return std::move(made.value());
}

std::vector<table_write> one_write() {
  return {{.key = "once/quotes/a", .etag = "", .value = "v"}};
}

std::error_code transact_error(const script& told) {
  scripted_server server(told);
  const auto outcome = table_at(server.address())->transact(one_write());
  EXPECT_EQ(server.requests().size(), 1U);
  return outcome ? std::error_code() : outcome.error();
}

std::error_code read_error(const script& told) {
  scripted_server server(told);
  const auto outcome = table_at(server.address())->read("profile/quotes");
  return outcome ? std::error_code() : outcome.error();
}

TEST(table_service_test, reads_a_row) {
  const std::string key = "once/a \"b\"\\/\xC3\xA9?#%";
  Json::Value body;
  body["key"] = key;
  body["value"] = "\xFF\x01{}";
  body["etag"] = "7";
  scripted_server server(answer(200, kernel::write_json(body)));
  const auto row = table_at(server.address())->read(key);
  ASSERT_TRUE(row);
  EXPECT_EQ(row.value(), (table_row{key, "\xFF\x01{}", "7"}));
  const std::string sent = server.requests().at(0);
  const auto question = kernel::parse_json(sent.substr(sent.find('{')));
  EXPECT_EQ((*question)["key"].asString(), key);
}

TEST(table_service_test, finds_nothing_where_no_row_stands) {
  scripted_server server(answer(404, "{}"));
  const auto row = table_at(server.address())->read("k");
  ASSERT_TRUE(row);
  EXPECT_FALSE(row.value());
}

TEST(table_service_test, reads_rows_by_prefix) {
  scripted_server server(
      answer(200, R"({"rows":[{"key":"a/1","value":"x","etag":"1"}]})"));
  const auto rows = table_at(server.address())->read_prefix("a/");
  ASSERT_TRUE(rows);
  EXPECT_EQ(rows.value(), (std::vector<table_row>{{"a/1", "x", "1"}}));
}

TEST(table_service_test, returns_the_new_etags) {
  scripted_server server(answer(200, R"({"etags":["8"]})"));
  const auto etags = table_at(server.address())->transact(one_write());
  ASSERT_TRUE(etags);
  EXPECT_EQ(etags.value(), std::vector<std::string>{"8"});
}

TEST(table_service_test, names_each_refusal) {
  EXPECT_EQ(transact_error(answer(409, "{}")), result_code::platform_conflict);
  EXPECT_EQ(transact_error(answer(429, "{}")), result_code::platform_throttled);
  EXPECT_EQ(transact_error(answer(503, "{}")), result_code::platform_down);
  EXPECT_EQ(read_error(answer(429, "{}")), result_code::platform_throttled);
  EXPECT_EQ(read_error(answer(503, "{}")), result_code::platform_down);
  EXPECT_EQ(read_error(answer(200, "{")), result_code::platform_bad_answer);
}

TEST(table_service_test, is_down_when_the_connection_is_refused) {
  // A co-op sends an order while the table is down. Nothing reached the table,
  // so the order may be refused as not run; "answer lost" would send its
  // caller into a needless search for an order that never was.
  const auto table = table_at(test::closed_address());
  EXPECT_EQ(table->transact(one_write()).error(), result_code::platform_down);
  EXPECT_EQ(table->read("k").error(), result_code::platform_down);
}

TEST(table_service_test, loses_the_answer_when_cut_after_the_write) {
  // A citation check is claimed, the table writes the claim, and the
  // connection goes before the answer. Were this "down", the claim would be
  // tried anew under another attempt and the check charged twice.
  const script silent{.bytes = "", .then = after_bytes::cut};
  const script headless{.bytes = "HTTP/1.1 200", .then = after_bytes::cut};
  const script half{.bytes = "HTTP/1.1 200 X\r\nContent-Length: 20\r\n\r\n{\"e",
                    .then = after_bytes::cut};
  const script endless{.bytes = "HTTP/1.1 200 X\r\n\r\n{\"etags\":[\"8\"]}",
                       .then = after_bytes::cut};
  for (const script& told : {silent, headless, half, endless}) {
    EXPECT_EQ(transact_error(told), result_code::platform_answer_lost);
    EXPECT_EQ(read_error(told), result_code::platform_down);
  }
}

TEST(table_service_test, loses_the_answer_when_it_is_unreadable) {
  // The table accepts a transaction but a proxy garbles the answer, or fails
  // with a status of its own. The write may stand, so it must be read back.
  for (const script& told : {answer(200, "{"), answer(200, R"({"etags":[]})"),
                             answer(200, R"({"etags":[5]})"), answer(500, "{}"),
                             answer(504, "{}")}) {
    EXPECT_EQ(transact_error(told), result_code::platform_answer_lost);
  }
}

TEST(table_service_test, gives_up_in_time) {
  // The table hangs, or its answer trickles in byte by byte. A request whose
  // caller waits at a press must not hang with it beyond the time limit.
  const script hung{.bytes = ""};
  const script trickle{.bytes = answer(200, std::string(200, ' ')).bytes,
                       .pause = milliseconds{20}};
  for (const script& told : {hung, trickle}) {
    scripted_server server(told);
    const auto begin = std::chrono::steady_clock::now();
    const auto outcome = table_at(server.address())->transact(one_write());
    EXPECT_EQ(outcome.error(), result_code::platform_answer_lost);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2 * timeout);
  }
}

}  // namespace
}  // namespace boragehill
