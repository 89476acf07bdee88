#include <atomic>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <thread>

#include <boragehill/answer_sink.hpp>
#include <boragehill/backend.hpp>
#include <boragehill/backend_request.hpp>
#include <boragehill/engine_order.hpp>
#include <boragehill/engine_state.hpp>
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

const std::string chunked_head =
    "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

/// Keeps what it is given and wants no more after `wanted_pieces`.
class keeping_sink : public answer_sink {
 public:
  bool head(int given, const std::string& type) override {
    this->status = given;
    this->content_type = type;
    return this->wanted_pieces > 0;
  }
  bool piece(std::string_view bytes) override {
    this->body += bytes;
    ++this->pieces;
    return this->pieces < this->wanted_pieces;
  }

  int status = 0;
  std::string content_type;
  std::string body;
  std::atomic<int> pieces{0};
  int wanted_pieces = 1000;
};

std::unique_ptr<backend> engine_at(const endpoint& address,
                                   const std::string& name = "model_engine") {
  auto made = kernel::registry<backend>::instance().make(
      name, {.address = address, .timeout = milliseconds{400}});
  return std::move(made.value());
}

backend_request request(const std::string& target = "/v1/completions?a=b%20c") {
  return {.attempt = "r1-5f.1.1",
          .method = "POST",
          .target = target,
          .content_type = "application/json",
          .body = "{}",
          .traceparent = "00-1-2-01",
          .time_left = milliseconds{500}};
}

std::error_code run_error(const script& told) {
  scripted_server server(told);
  keeping_sink sink;
  const auto outcome = engine_at(server.address())->run(request(), sink);
  EXPECT_EQ(server.requests().size(), 1U);
  return outcome ? std::error_code() : outcome.error();
}

std::error_code order_error(const script& told) {
  scripted_server server(told);
  const auto outcome = engine_at(server.address())->carry_out({.model = "m"});
  EXPECT_EQ(server.requests().size(), 1U);
  return outcome ? std::error_code() : outcome.error();
}

TEST(model_engine_test, hands_over_a_whole_answer) {
  scripted_server server(
      {.bytes = chunked_head + "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"});
  keeping_sink sink;
  ASSERT_TRUE(engine_at(server.address())->run(request(), sink));
  EXPECT_EQ(sink.status, 200);
  EXPECT_EQ(sink.content_type, "text/event-stream");
  EXPECT_EQ(sink.body, "abc");
  const std::string sent = server.requests().at(0);
  EXPECT_TRUE(sent.starts_with("POST /v1/completions?a=b%20c HTTP/1.1\r\n"));
  EXPECT_NE(sent.find("X-Request-Attempt: r1-5f.1.1\r\n"), std::string::npos);
  EXPECT_NE(sent.find("X-Time-Left-Ms: 500\r\n"), std::string::npos);
  EXPECT_NE(sent.find("traceparent: 00-1-2-01\r\n"), std::string::npos);
}

TEST(model_engine_test, hands_over_a_refusal_of_the_engine) {
  scripted_server server(answer(409, "no"));
  keeping_sink sink;
  ASSERT_TRUE(engine_at(server.address())->run(request(), sink));
  EXPECT_EQ(sink.status, 409);
  EXPECT_EQ(sink.body, "no");
}

TEST(model_engine_test, is_down_when_the_connection_is_refused) {
  // An engine's process is gone when a quote reaches its agent. Nothing was
  // sent, so the quote may run elsewhere; "crashed" would leave its caller
  // with an unknown outcome.
  const auto engine = engine_at(test::closed_address());
  keeping_sink sink;
  EXPECT_EQ(engine->run(request(), sink).error(), result_code::engine_down);
  EXPECT_EQ(engine->state().error(), result_code::engine_down);
  EXPECT_EQ(engine->carry_out({}).error(), result_code::engine_down);
  engine->cancel("r1-5f.1.1");
}

TEST(model_engine_test, is_crashed_when_the_answer_is_cut) {
  // An engine dies while it answers. However much of the answer is out, what
  // comes next must be an error: half a list of readings looks like a list.
  const std::string sized = "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n";
  for (const std::string& bytes :
       {std::string(), std::string("HTTP/1.1 2"), sized, sized + "half",
        chunked_head, chunked_head + "2", chunked_head + "2\r\na",
        chunked_head + "2\r\nab", chunked_head + "2\r\nab\r",
        chunked_head + "2\r\nab\r\n", chunked_head + "2\r\nab\r\n0",
        chunked_head + "2\r\nab\r\n0\r\n",
        std::string("HTTP/1.1 200 X\r\n\r\nno length"),
        std::string("HTTP/1.1 200 X\r\nConnection: close\r\n\r\nno length")}) {
    EXPECT_EQ(run_error({.bytes = bytes, .then = after_bytes::cut}),
              result_code::engine_crashed)
        << "cut after: " << bytes;
  }
}

TEST(model_engine_test, hands_over_an_answer_whose_connection_closed_since) {
  // A VM pauses with streams inside. Their engine ends them and, as nobody
  // uses the kept connections, closes these. The agent wakes, reads each answer
  // to its last byte and then the close; taken for a crash, it would break off
  // a stream that is whole, and count a strike against an innocent request.
  EXPECT_EQ(run_error({.bytes = chunked_head + "2\r\nab\r\n0\r\n\r\n",
                       .then = after_bytes::cut}),
            std::error_code());
}

TEST(model_engine_test, passes_over_an_interim_answer) {
  scripted_server server(
      {.bytes = "HTTP/1.1 100 Continue\r\n\r\n" + answer(200, "ab").bytes});
  keeping_sink sink;
  ASSERT_TRUE(engine_at(server.address())->run(request(), sink));
  EXPECT_EQ(sink.status, 200);
  EXPECT_EQ(sink.body, "ab");
}

TEST(model_engine_test, is_crashed_when_no_answer_comes_in_time) {
  // An engine hangs with the request in hand. Whether it ran is unknown, so
  // it is neither sent again nor called "not run".
  EXPECT_EQ(run_error({.bytes = ""}), result_code::engine_crashed);
}

TEST(model_engine_test, does_not_follow_a_redirect) {
  // An engine answers a charge with a redirect. Following it would send the
  // charge a second time.
  const script moved{.bytes =
                         "HTTP/1.1 307 X\r\nLocation: /again\r\n"
                         "Content-Length: 0\r\n\r\n"};
  EXPECT_EQ(run_error(moved), std::error_code());
}

TEST(model_engine_test, ends_when_the_sink_wants_no_more) {
  scripted_server server({.bytes = chunked_head + "2\r\nab\r\n"});
  keeping_sink sink;
  sink.wanted_pieces = 1;
  EXPECT_EQ(engine_at(server.address())->run(request(), sink).error(),
            result_code::caller_gone);
}

TEST(model_engine_test, ends_a_run_that_is_cancelled) {
  // A student closes the page while the model still writes. The agent cancels
  // the attempt and its thread must come back at once, not at the deadline.
  scripted_server server({.bytes = chunked_head + "2\r\nab\r\n"});
  const auto engine = engine_at(server.address());
  keeping_sink sink;
  std::thread canceller([&] {
    while (sink.pieces == 0) std::this_thread::yield();
    engine->cancel("r1-5f.1.1");
  });
  backend_request patient = request();
  patient.time_left = std::chrono::minutes{5};
  EXPECT_EQ(engine->run(patient, sink).error(), result_code::caller_gone);
  canceller.join();
}

TEST(model_engine_test, sends_no_second_request_hidden_in_the_first) {
  // A caller puts a line break into a path to smuggle a second request in. It
  // would run at the engine uncounted by its agent.
  scripted_server server(answer(200, "{}"));
  const auto engine = engine_at(server.address());
  keeping_sink sink;
  const std::string hidden = "/a HTTP/1.1\r\n\r\nPOST /b";
  EXPECT_EQ(engine->run(request(hidden), sink).error(),
            result_code::malformed_request);
  EXPECT_TRUE(server.requests().empty());
}

TEST(model_engine_test, reads_the_state) {
  scripted_server server(answer(
      200,
      R"({"incarnation":"e1","capacity_bytes":80000000000,"slots":8,)"
      R"("running":3,"models":[{"name":"m:a","state":"loading","bytes":7}],)"
      R"("cached":{"m":"disk","n":"memory"}})"));
  const auto state = engine_at(server.address())->state();
  ASSERT_TRUE(state);
  const engine_state expected{
      .incarnation = "e1",
      .capacity_bytes = 80'000'000'000,
      .slots = 8,
      .models = {{"m:a", engine_model_state::loading, 7}},
      .cached = {{"m", checkpoint_tier::disk}, {"n", checkpoint_tier::memory}},
      .running = 3};
  EXPECT_EQ(state.value(), expected);
}

TEST(model_engine_test, takes_no_state_with_a_garbled_model) {
  // One model of the engine's account can't be read. Left out, its memory
  // would count as free and the next load would overcommit the accelerator.
  scripted_server server(answer(
      200, R"({"incarnation":"e1","capacity_bytes":8,"slots":8,)"
           R"("running":3,"models":[{"name":"m","state":"?","bytes":7}]})"));
  EXPECT_EQ(engine_at(server.address())->state().error(),
            result_code::engine_down);
}

TEST(model_engine_test, names_how_an_order_ended) {
  EXPECT_EQ(order_error(answer(200, "{}")), std::error_code());
  EXPECT_EQ(order_error(answer(409, "{}")), result_code::order_fenced);
  EXPECT_EQ(order_error(answer(502, "{}")), result_code::load_failed);
  EXPECT_EQ(order_error(answer(507, "{}")), result_code::no_memory);
  EXPECT_EQ(order_error(answer(400, "{}")), result_code::engine_refused);
  EXPECT_EQ(order_error(answer(500, "{}")), result_code::order_unknown);
}

TEST(model_engine_test, does_not_know_an_order_whose_answer_was_lost) {
  // A load is done and the answer is cut. Taken for "not done", its memory
  // would be given to another model and the accelerator overcommitted.
  const std::string half = "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf";
  for (const std::string& bytes : {std::string(), half}) {
    EXPECT_EQ(order_error({.bytes = bytes, .then = after_bytes::cut}),
              result_code::order_unknown);
  }
}

TEST(plain_service_test, forwards_and_takes_no_orders) {
  scripted_server server(answer(201, "made"));
  const auto service = engine_at(server.address(), "plain_service");
  keeping_sink sink;
  ASSERT_TRUE(service->run(request("/orders"), sink));
  EXPECT_EQ(sink.status, 201);
  EXPECT_EQ(sink.body, "made");
  EXPECT_EQ(service->carry_out({}).error(), result_code::not_supported);
}

TEST(plain_service_test, makes_up_a_state) {
  scripted_server server(
      answer(200, R"({"incarnation":"s1","slots":4,"running":1})"));
  const auto state = engine_at(server.address(), "plain_service")->state();
  ASSERT_TRUE(state);
  EXPECT_EQ(state.value().incarnation, "s1");
  EXPECT_EQ(state.value().slots, 4U);
}

}  // namespace
}  // namespace boragehill
