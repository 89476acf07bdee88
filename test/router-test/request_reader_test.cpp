#include "router/request_reader.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <boragehill/profile.hpp>

#include "decide/catalog.hpp"

namespace boragehill::router {
namespace {

using outcome = std::variant<accepted_request, refusal>;

constexpr char good_body[] = R"({"model":"valves:spool","stream":true})";

decide::catalog published() {
  return {1,
          {{.name = "assistant",
            .services = {"assistant"},
            .models = {{.name = "valves", .adapters = {"spool"}}},
            .pools = {"sheets"},
            .non_idempotent = {{.method = "POST", .path = "/orders"}},
            .max_wait = milliseconds(5000)}}};
}

httplib::Request model_call(const std::string& body) {
  httplib::Request raw;
  raw.method = "POST";
  raw.path = "/v1/chat/completions";
  raw.target = raw.path;
  raw.headers = {{"X-Service", "assistant"}};
  raw.body = body;
  return raw;
}

outcome read(const httplib::Request& raw) {
  const request_reader reader(milliseconds(30000));
  return reader.read_model_call(raw, published(), time_point());
}

outcome read_with(const std::string& header, const std::string& value) {
  auto raw = model_call(good_body);
  raw.headers.emplace(header, value);
  return read(raw);
}

/// Reads a call as the HTTP library hands it over: its path is unescaped.
outcome read_service(const std::string& target, const std::string& path) {
  httplib::Request raw;
  raw.method = "POST";
  raw.target = target;
  raw.path = path;
  raw.headers = {{"X-Service", "assistant"}};
  const std::regex route(R"(/services/([^/]+)(/.*)?)");
  std::regex_match(raw.path, raw.matches, route);
  const request_reader reader(milliseconds(30000));
  return reader.read_service_call(raw, published(), time_point());
}

void expect_refused(const outcome& read, result_code code) {
  const auto* refused = std::get_if<refusal>(&read);
  ASSERT_NE(refused, nullptr) << name_of(code);
  EXPECT_EQ(refused->code, code) << refused->message;
  EXPECT_EQ(refused->ran, ran_state::no);
  EXPECT_FALSE(refused->message.empty());
}

TEST(request_reader_test, reads_a_call_of_a_model) {
  const auto found = std::get<accepted_request>(read(model_call(good_body)));
  EXPECT_EQ(found.target, "model:valves");
  EXPECT_EQ(found.adapter, "spool");
  EXPECT_TRUE(found.streamed);
  EXPECT_EQ(found.deadline, time_point() + milliseconds(5000));
}

TEST(request_reader_test, refuses_a_body_that_names_no_model) {
  for (const char* body :
       {"", "{", "[]", "7", "{}", R"({"model":7})", R"({"model":null})",
        R"({"model":"valves","stream":"yes"})", "\xff\xfe"}) {
    SCOPED_TRACE(body);
    expect_refused(read(model_call(body)), result_code::malformed_request);
  }
  const std::string deep(100000, '[');
  expect_refused(read(model_call(deep)), result_code::malformed_request);
}

// A caller sends "model" twice, one of them not allowed to it. If the check
// went by one and the engine by the other, it would reach a model of another
// service.
TEST(request_reader_test, refuses_a_body_that_two_readers_could_read_apart) {
  for (const char* body : {R"({"model":"secret","model":"valves"})",
                           R"({"model":"valves"}{"model":"secret"})"}) {
    expect_refused(read(model_call(body)), result_code::malformed_request);
  }
}

TEST(request_reader_test, refuses_models_and_adapters_not_allowed) {
  for (const char* model : {"other", "valves:other", "", ":", "model:valves"}) {
    SCOPED_TRACE(model);
    expect_refused(
        read(model_call("{\"model\":\"" + std::string(model) + "\"}")),
        result_code::unknown_model);
  }
}

TEST(request_reader_test, refuses_a_service_that_no_profile_names) {
  auto raw = model_call(good_body);
  raw.headers.clear();
  expect_refused(read(raw), result_code::unknown_service);
  raw.headers = {{"X-Service", "stranger"}};
  expect_refused(read(raw), result_code::unknown_service);
}

TEST(request_reader_test, refuses_bad_deadlines) {
  for (const char* value : {"", "0", "-1", "soon", "1.5", "10x", "86400001",
                            "99999999999999999999"}) {
    SCOPED_TRACE(value);
    expect_refused(read_with("X-Deadline-Ms", value),
                   result_code::bad_deadline);
  }
}

TEST(request_reader_test, takes_the_shorter_of_the_two_waits) {
  const auto soon =
      std::get<accepted_request>(read_with("X-Deadline-Ms", "100"));
  EXPECT_EQ(soon.deadline, time_point() + milliseconds(100));
  const auto late =
      std::get<accepted_request>(read_with("X-Deadline-Ms", "9000"));
  EXPECT_EQ(late.deadline, time_point() + milliseconds(5000));
}

TEST(request_reader_test, refuses_steering_headers_sent_twice_or_too_long) {
  expect_refused(read_with("X-Service", "assistant"), result_code::bad_header);
  expect_refused(read_with("Idempotency-Key", std::string(1025, 'k')),
                 result_code::bad_header);
  expect_refused(read_with("Idempotency-Key", "k\xc3\xa9"),
                 result_code::bad_header);
}

TEST(request_reader_test, reads_a_call_of_a_plain_service) {
  const auto order = std::get<accepted_request>(read_service(
      "/services/sheets/orders/7?unit=mm", "/services/sheets/orders/7"));
  EXPECT_EQ(order.target, "pool:sheets");
  EXPECT_EQ(order.path, "/orders/7?unit=mm");
  EXPECT_TRUE(order.non_idempotent);
  const auto bare = std::get<accepted_request>(
      read_service("/services/sheets", "/services/sheets"));
  EXPECT_EQ(bare.path, "/");
  EXPECT_FALSE(bare.non_idempotent);
  expect_refused(read_service("/services/other/x", "/services/other/x"),
                 result_code::unknown_path);
}

// A datasheet's name holds an escaped "?" or "/". Passed on unescaped, the
// service would look another sheet up, and the caller would get its answer.
TEST(request_reader_test, passes_an_escaped_path_on_as_it_came) {
  const auto found = std::get<accepted_request>(
      read_service("/services/sheets/a%2Fb%3Fc?x=1", "/services/sheets/a/b?c"));
  EXPECT_EQ(found.path, "/a%2Fb%3Fc?x=1");
  expect_refused(
      read_service("/services/sheets%2Forders", "/services/sheets/orders"),
      result_code::unknown_path);
}

TEST(request_reader_test, gives_a_resend_the_same_fingerprint) {
  const auto of = [](const std::string& body) {
    return std::get<accepted_request>(read(model_call(body))).fingerprint;
  };
  EXPECT_EQ(of(good_body), of(good_body));
  EXPECT_NE(of(good_body), of(R"({"model":"valves"})"));
}

}  // namespace
}  // namespace boragehill::router
