#ifndef BORAGEHILL_TEST_AGENT_BENCH_HPP
#define BORAGEHILL_TEST_AGENT_BENCH_HPP

#include <gtest/gtest.h>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boragehill/server_record.hpp>

#include "agent/agent.hpp"
#include "fake_backend.hpp"
#include "fake_table.hpp"
#include "fake_vms.hpp"
#include "wire/agent_report.hpp"
#include "wire/answer_frame_decoder.hpp"
#include "wire/attempt_answer.hpp"
#include "wire/attempt_query.hpp"
#include "wire/retire_order.hpp"
#include "wire/row_fields.hpp"
#include "wire/rpc_client.hpp"
#include "wire/rpc_server.hpp"
#include "wire/wake_answer.hpp"
#include "wire/wake_order.hpp"

namespace boragehill::agent {

/// An agent between hand-written fakes, spoken to over loopback as homes and
/// routers do.
class agent_bench : public testing::Test {
 protected:
  void SetUp() override {
    this->grant({{"a", 60}, {"b", 60}});
    this->start();
  }

  void TearDown() override {
    this->engine.change([](fake_engine& own) { own.hold = false; });
    this->own.reset();
  }

  agent_settings settings() const {
    return {.id = "s1",
            .failure_domain = "d1",
            .region = "r1",
            .pool = "p1",
            .kind = this->as_plain ? server_kind::plain : server_kind::model,
            .control = {"127.0.0.1", 0},
            .data = {"127.0.0.1", 0},
            .report_interval = milliseconds(50),
            .wait_out = milliseconds(50),
            .engine_checks_fence = false,
            .drain = milliseconds(5000),
            .vm_list_poll = milliseconds(50)};
  }

  void grant(std::vector<boragehill::grant> grants) {
    const auto last = this->row();
    this->rows.put(
        "server/s1",
        wire::to_text(server_record{
            .id = "s1", .fence = last.fence, .grants = std::move(grants)}));
  }

  /// The agent's process, as its reports name it for permits.
  std::uint64_t incarnation() {
    return this->call("agent.status", {})["incarnation"].asUInt64();
  }

  server_record row() {
    const std::lock_guard lock(this->rows.mutex);
    const auto found = this->rows.rows.find("server/s1");
    if (found == this->rows.rows.end()) return {};
    return wire::from_text<server_record>(found->second.value).value();
  }

  void start() {
    this->own.reset();
    this->own = std::make_unique<agent>(
        settings(),
        agent_parts{.backend = std::make_unique<fake_backend>(this->engine),
                    .table = std::make_unique<fake_table>(this->rows),
                    .vms = std::make_unique<fake_vms>(this->vms)});
    ASSERT_TRUE(this->own->start());
  }

  template <class Condition>
  static bool soon(Condition holds) {
    for (int i = 0; i < 500; ++i) {
      if (holds()) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  Json::Value call(const std::string& method, const Json::Value& params) {
    const auto answer = this->client.call(this->own->control(), method, params,
                                          milliseconds(2000));
    return answer ? answer.value() : Json::Value();
  }

  result_code wake(const std::string& model) {
    const auto answer = this->call(
        "agent.wake",
        wire::to_json(wire::wake_order{.model = model, .keep_warm_ms = 60000}));
    const auto parsed = wire::from_json<wire::wake_answer>(answer);
    if (!parsed) return result_code::peer_refused;
    return static_cast<result_code>(parsed.value().code);
  }

  bool ready(const std::string& model) {
    const Json::Value status = this->call("agent.status", Json::objectValue);
    for (const auto& replica : status["replicas"]) {
      if (replica["name"].asString() != model) continue;
      return replica["state"].asInt() ==
             static_cast<int>(wire::replica_state::ready);
    }
    return false;
  }

  void wake_until_ready(const std::string& model) {
    ASSERT_TRUE(soon([&] { return this->wake(model) == result_code::ok; }));
    ASSERT_TRUE(soon([&] { return this->ready(model); }));
  }

  std::uint64_t running() {
    return this->call("agent.status", Json::objectValue)["running"].asUInt64();
  }

  static std::int64_t permit_end() {
    const auto end = time_point::clock::now() + milliseconds(5000);
    return std::chrono::duration_cast<milliseconds>(end.time_since_epoch())
        .count();
  }

  httplib::Headers headers(std::uint64_t sequence, bool non_idempotent) {
    return {{"Boragehill-Attempt", "r1-aa." + std::to_string(sequence) + ".1"},
            {"Boragehill-Fence", std::to_string(this->incarnation())},
            {"Boragehill-Permit-End", std::to_string(permit_end())},
            {"Boragehill-Target", this->as_plain ? this->target : "model:a"},
            {"Boragehill-Time-Left-Ms", "5000"},
            {"Boragehill-Method", "POST"},
            {"Boragehill-Path", "/v1/completions"},
            {"Boragehill-Non-Idempotent", non_idempotent ? "1" : ""}};
  }

  static std::vector<wire::answer_frame> frames_in(const std::string& bytes) {
    std::vector<wire::answer_frame> frames;
    wire::answer_frame_decoder decoder;
    const auto fed = decoder.feed(bytes, [&](wire::answer_frame&& frame) {
      frames.push_back(std::move(frame));
      return true;
    });
    EXPECT_TRUE(fed);
    return frames;
  }

  /// Sends an attempt and returns the frames of its answer.
  std::vector<wire::answer_frame> attempt(std::uint64_t sequence,
                                          bool non_idempotent = false) {
    return this->send(this->headers(sequence, non_idempotent));
  }

  std::vector<wire::answer_frame> send(const httplib::Headers& headers) {
    httplib::Client http("127.0.0.1", this->own->data().port);
    http.set_read_timeout(10);
    const auto answer =
        http.Post("/attempt", headers, "{}", "application/json");
    if (!answer) return {};
    return frames_in(answer->body);
  }

  /// Sends attempt 1, and closes its connection once it runs.
  void hang_up_on(bool non_idempotent) {
    httplib::Client http("127.0.0.1", this->own->data().port);
    http.set_read_timeout(10);
    std::jthread caller([&] {
      http.Post("/attempt", this->headers(1, non_idempotent), "{}",
                "application/json");
    });
    EXPECT_TRUE(soon([&] { return this->running() == 1; }));
    http.stop();
  }

  wire::attempt_status asked(const std::string& method,
                             std::uint64_t sequence) {
    const auto answer = this->call(
        method, wire::to_json(wire::attempt_query{
                    .attempt = "r1-aa." + std::to_string(sequence) + ".1",
                    .fence = this->incarnation(),
                    .permit_end_ms = permit_end()}));
    return wire::from_json<wire::attempt_answer>(answer).value().status;
  }

  /// Beside a plain service, and what its attempts name.
  bool as_plain = false;
  std::string target = "pool:p1";
  fake_rows rows;
  fake_vm_table vms;
  fake_engine engine;
  wire::rpc_client client{wire::rpc_client_settings{}};
  std::unique_ptr<agent> own;
};

/// Returns the failure that an answer consists of or ends with.
inline wire::frame_failure failure_in(
    const std::vector<wire::answer_frame>& frames) {
  if (frames.empty()) return {.code = result_code::ok};
  const auto* failure = std::get_if<wire::frame_failure>(&frames.back());
  return failure == nullptr ? wire::frame_failure{.code = result_code::ok}
                            : *failure;
}

}  // namespace boragehill::agent

#endif  // BORAGEHILL_TEST_AGENT_BENCH_HPP
