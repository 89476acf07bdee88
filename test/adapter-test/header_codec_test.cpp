#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

#include <boragehill/result_code.hpp>

#include "fleet/request_codec.hpp"
#include "kernel/registry.hpp"

namespace boragehill::fleet {
namespace {

std::unique_ptr<request_codec> codec() {
  return kernel::registry<request_codec>::instance()
      .make("headers", {})
      .value();
}

http::header_list headers(const std::vector<http::header>& all) {
  http::header_list list;
  for (const auto& each : all) list.add(each.name, each.value);
  return list;
}

TEST(header_codec_test, reads_a_generation) {
  const auto read =
      codec()->read_request(headers({{"Boragehill-Attempt-Id", "9c41"},
                                     {"Boragehill-Model", "daka/a3"},
                                     {"Boragehill-Token-Count", "1460,80"},
                                     {"Boragehill-Deadline-Ms", "12000"}}));
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value(), (request_fields{.attempt = "9c41",
                                          .deadline = milliseconds(12000),
                                          .model = "daka",
                                          .adapter = "a3",
                                          .prompt_tokens = 1460,
                                          .output_tokens = 80}));
}

TEST(header_codec_test, reads_which_stream_a_caller_takes_up) {
  const auto read = codec()->read_request(
      headers({{"Last-Event-Id", "7"}, {"Resumes", "9c41"}}));
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value(),
            (request_fields{.last_event = "7", .resumed_attempt = "9c41"}));
}

TEST(header_codec_test, reads_the_shared_parts_of_a_prompt) {
  const std::map<std::string, std::vector<std::string>> cases{
      {"5c1e07a2:800,91BD3f06:410,e4402b7d:250", {"5c1e07a2", "91bd3f06"}},
      {" 5c1e07a2:800 , e4402b7d", {"5c1e07a2"}},
      {"e4402b7d:250", {}},
      {"", {}},
      {"5c1e07a2:800,,e4402b7d:250", {}},
      {std::string(100, 'a') + ":1,e4402b7d:250", {}}};
  for (const auto& [text, parts] : cases) {
    const auto read =
        codec()->read_request(headers({{"Boragehill-Prompt-Prefix", text}}));
    ASSERT_TRUE(read) << text;
    EXPECT_EQ(read.value().prompt_parts, parts) << text;
  }
}

// Guards against a caller that fills memory with parts.
TEST(header_codec_test, reads_no_more_parts_than_prompts_have) {
  std::string text;
  for (int each = 0; each < 500; ++each) text += std::to_string(each) + ":1,";
  const auto read = codec()->read_request(
      headers({{"Boragehill-Prompt-Prefix", text + "own:1"}}));
  ASSERT_TRUE(read);
  EXPECT_LE(read.value().prompt_parts.size(), 32U);
}

TEST(header_codec_test, refuses_values_that_make_no_sense) {
  for (const auto& [name, value] : std::vector<http::header>{
           {"Boragehill-Deadline-Ms", "soon"},
           {"Boragehill-Deadline-Ms", "-5"},
           {"Boragehill-Deadline-Ms", "0"},
           {"Boragehill-Deadline-Ms", "99999999999999999999"},
           {"Boragehill-Token-Count", "12"},
           {"Boragehill-Token-Count", "a,b"},
           {"Boragehill-Token-Count", "-1,5"}}) {
    EXPECT_FALSE(codec()->read_request(headers({{name, value}})))
        << name << " " << value;
  }
}

TEST(header_codec_test, a_caller_cannot_set_what_is_the_systems) {
  // A caller that names a memory copy or a lifetime itself could read another
  // caller's prompt, or reach a worker that must not run the request.
  const auto sent =
      codec()->forwarded(headers({{"Host", "a"},
                                  {"Boragehill-Hold", "1"},
                                  {"boragehill-pin-ms", "1"},
                                  {"Boragehill-Kv-Backup", "1"},
                                  {"Kv-From", "1"},
                                  {"Boragehill-Expect-Instance", "i-9"},
                                  {"Boragehill-Request-Priority", "0"},
                                  {"Boragehill-Deadline-Ms", "99999"},
                                  {"Connection", "X-Gone"},
                                  {"X-Gone", "1"},
                                  {"X-Kept", "1"},
                                  {"Transfer-Encoding", "chunked"}}),
                         {.expected_server = "i-1",
                          .time_left = milliseconds(700),
                          .priority = 2});
  EXPECT_EQ(sent, headers({{"Host", "a"},
                           {"X-Kept", "1"},
                           {"Boragehill-Deadline-Ms", "700"},
                           {"Boragehill-Expect-Instance", "i-1"},
                           {"Boragehill-Request-Priority", "2"}}));
}

TEST(header_codec_test, reads_the_key_of_a_client_account) {
  for (const auto* value :
       {"Bearer key-1", "bearer key-1", "BEARER   key-1 "}) {
    const auto read =
        codec()->read_request(headers({{"authorization", value}}));
    ASSERT_TRUE(read) << value;
    EXPECT_EQ(read.value().key, "key-1") << value;
  }
}

TEST(header_codec_test, reads_no_key_where_none_is_shown_for_sure) {
  const std::vector<std::vector<http::header>> cases{
      {},
      {{"Authorization", ""}},
      {{"Authorization", "key-1"}},
      {{"Authorization", "Basic key-1"}},
      {{"Authorization", "Bearer key-1"}, {"Authorization", "Bearer key-2"}}};
  for (const auto& each : cases) {
    const auto read = codec()->read_request(headers(each));
    ASSERT_TRUE(read);
    EXPECT_FALSE(read.value().key);
  }
}

// Guards against servers that see a key, or an account that a caller claims.
TEST(header_codec_test, names_the_account_and_passes_on_no_key) {
  const auto asked = headers(
      {{"Authorization", "Bearer key-1"}, {"boragehill-tenant", "another"}});
  const auto sent = codec()->forwarded(asked, {.account = "a"});
  EXPECT_EQ(sent.find("Authorization"), nullptr);
  ASSERT_NE(sent.find("Boragehill-Tenant"), nullptr);
  EXPECT_EQ(*sent.find("Boragehill-Tenant"), "a");
  const auto unnamed = codec()->forwarded(asked, {.account = ""});
  EXPECT_EQ(unnamed.find("Authorization"), nullptr);
  EXPECT_EQ(unnamed.find("Boragehill-Tenant"), nullptr);
}

TEST(header_codec_test, passes_credentials_on_where_there_are_no_accounts) {
  const auto sent = codec()->forwarded(
      headers({{"Authorization", "Bearer of-the-service"}}), {});
  EXPECT_NE(sent.find("Authorization"), nullptr);
}

TEST(header_codec_test, goes_on_behind_the_last_event) {
  const auto sent = codec()->forwarded(headers({{"last-event-id", "2"}}),
                                       {.expected_server = "i-1",
                                        .time_left = milliseconds(1),
                                        .last_event = "9"});
  ASSERT_NE(sent.find("Last-Event-Id"), nullptr);
  EXPECT_EQ(*sent.find("Last-Event-Id"), "9");
}

TEST(header_codec_test, takes_a_length_hint_that_can_be_read) {
  const auto hint = [](const char* value) {
    return codec()
        ->read_request(headers({{"Boragehill-Length-Hint", value}}))
        .value()
        .output_hint;
  };
  EXPECT_EQ(hint("40"), 40);
  for (const char* bad : {"", "-1", "0", "many", "99999999999"}) {
    EXPECT_EQ(hint(bad), std::nullopt) << bad;
  }
  EXPECT_EQ(codec()->read_request({}).value().output_hint, std::nullopt);
}

TEST(header_codec_test, takes_only_the_workers_word_for_not_run) {
  const auto shed =
      codec()->read_answer(503, headers({{"Boragehill-Not-Run", "1"}}));
  EXPECT_TRUE(shed.not_run);
  EXPECT_FALSE(codec()->read_answer(503, {}).not_run);
  EXPECT_FALSE(codec()->read_answer(500, {}).not_run);
  const auto moved = codec()->read_answer(421, {});
  EXPECT_TRUE(moved.not_run);
  EXPECT_TRUE(moved.misdirected);
  const auto good =
      codec()->read_answer(200, headers({{"Boragehill-Response-Stamp", "3e"},
                                         {"Boragehill-Attempt-Id", "9c"},
                                         {"Boragehill-Server-Load", "3,1,8"}}));
  EXPECT_TRUE(good.stamped);
  EXPECT_EQ(good.attempt, "9c");
  EXPECT_EQ(good.running, 3);
  EXPECT_EQ(good.waiting, 1);
}

TEST(header_codec_test, knows_the_statuses_that_promise_no_run) {
  for (const int status : {408, 421, 429, 503}) {
    EXPECT_TRUE(codec()->read_answer(status, {}).promises_no_run) << status;
  }
  for (const int status : {200, 400, 404, 500, 502, 504}) {
    EXPECT_FALSE(codec()->read_answer(status, {}).promises_no_run) << status;
  }
}

TEST(header_codec_test, reads_the_pace_of_a_server_that_tells_it) {
  const auto pace = [](const char* load) {
    return codec()
        ->read_answer(200, headers({{"Boragehill-Server-Load", load}}))
        .pace;
  };
  EXPECT_EQ(pace("3,1,8,170"), 1.7);
  EXPECT_EQ(pace("3,1,8,100"), 1);
  for (const char* none : {"3,1,8", "3,1,8,", "3,1,8,0", "3,1,8,-5", "3,1"}) {
    EXPECT_EQ(pace(none), std::nullopt) << none;
  }
}

TEST(header_codec_test, reads_for_how_long_a_server_wants_nothing) {
  const auto rest = [](int status, const char* value) {
    return codec()->read_answer(status, headers({{"Retry-After", value}})).rest;
  };
  EXPECT_EQ(rest(503, "3"), milliseconds(3000));
  EXPECT_EQ(rest(503, "0.25"), milliseconds(250));
  EXPECT_EQ(rest(503, "0.0001"), milliseconds(1));
  EXPECT_EQ(rest(503, "1e300"), std::chrono::hours(24));
  for (const char* bad : {"", "0", "-1", "nan", "soon", "3 s"}) {
    EXPECT_EQ(rest(503, bad), std::nullopt) << bad;
  }
  EXPECT_EQ(rest(429, "3"), std::nullopt);
  EXPECT_EQ(codec()->read_answer(503, {}).rest, std::nullopt);
}

TEST(header_codec_test, reads_that_a_server_leaves) {
  const auto leaves = [](const char* value) {
    return codec()
        ->read_answer(200, headers({{"Server-Leaving", value}}))
        .leaving;
  };
  EXPECT_TRUE(leaves("1"));
  EXPECT_FALSE(leaves("0"));
  EXPECT_FALSE(leaves(""));
  EXPECT_FALSE(codec()->read_answer(200, {}).leaving);
}

}  // namespace
}  // namespace boragehill::fleet
