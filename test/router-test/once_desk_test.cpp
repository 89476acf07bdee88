#include "router/once_desk.hpp"

#include <gtest/gtest.h>

#include <boragehill/object_store.hpp>

#include "decide/idempotency_record.hpp"
#include "fake_table.hpp"
#include "router/accepted_request.hpp"
#include "wire/attempt_answer.hpp"
#include "wire/field_codec.hpp"
#include "wire/rpc_client.hpp"
#include "wire/rpc_client_settings.hpp"
#include "wire/rpc_server.hpp"
#include "wire/rpc_server_settings.hpp"

namespace boragehill::router {
namespace {

class fake_objects final : public object_store {
 public:
  bool down = false;
  std::map<std::string, std::string> all;

  result<std::optional<std::string>> get(const std::string& name) override {
    if (this->down) return result_code::platform_down;
    const auto found = this->all.find(name);
    if (found == this->all.end()) return std::optional<std::string>();
    return std::optional<std::string>(found->second);
  }

  result<void> put(const std::string& name, const std::string& value) override {
    if (this->down) return result_code::platform_down;
    this->all[name] = value;
    return success();
  }

  result<void> remove(const std::string& name) override {
    this->all.erase(name);
    return success();
  }
};

/// A desk over fakes, and an agent that says what a test wants.
struct once_desk_test : ::testing::Test {
  once_desk_test() {
    this->agent.add("agent.tombstone", [this](const Json::Value&) {
      return result<Json::Value>(
          wire::to_json(wire::attempt_answer{this->status}));
    });
    EXPECT_TRUE(this->agent.start());
  }

  accepted_request order(const std::string& digest = "digest") const {
    return {.service = "assistant",
            .target = "pool:sheets",
            .non_idempotent = true,
            .idempotency_key = "key",
            .fingerprint = digest,
            .deadline = time_point::clock::now() + milliseconds(400)};
  }

  wire::permit_answer permit() {
    return {.server = "s1", .control = this->agent.bound(), .fence = 3};
  }

  once_ticket opened() {
    return std::get<once_ticket>(this->desk.open(this->order()));
  }

  /// Opens and claims as one router does.
  once_ticket claimed() {
    auto ticket = this->opened();
    EXPECT_EQ(this->desk.claim(ticket, this->order(), mine, this->permit()),
              result_code::ok);
    return ticket;
  }

  refusal refused(const accepted_request& request) {
    return std::get<refusal>(this->desk.open(request));
  }

  const attempt_id mine{"r1-0", 1, 1};
  const attempt_id other{"r2-0", 1, 1};
  std::atomic<wire::attempt_status> status = wire::attempt_status::running;
  fake_table table;
  fake_objects objects;
  wire::rpc_client client{wire::rpc_client_settings{}};
  wire::rpc_server agent{{.listen = {"127.0.0.1", 0}}};
  once_desk desk{this->table, this->objects, this->client, milliseconds(300),
                 16};
};

TEST_F(once_desk_test, hands_a_settled_answer_over_to_a_resend) {
  const auto ticket = this->claimed();
  this->desk.settle(ticket, this->order(), mine, this->permit(),
                    {200, "text/plain", "done"});
  const auto answer = std::get<whole_answer>(this->desk.open(this->order()));
  EXPECT_EQ(answer, (whole_answer{200, "text/plain", "done"}));
  EXPECT_EQ(this->refused(this->order("another")).code,
            result_code::idempotency_key_reused);
}

TEST_F(once_desk_test, keeps_a_large_or_binary_answer_as_an_object) {
  const auto ticket = this->claimed();
  this->desk.settle(ticket, this->order(), mine, this->permit(),
                    {200, "image/png", "\x89PNG"});
  EXPECT_EQ(std::get<whole_answer>(this->desk.open(this->order())).body,
            "\x89PNG");
  this->objects.down = true;
  EXPECT_EQ(this->refused(this->order()).ran, ran_state::yes);
  this->objects.down = false;
  this->objects.all.clear();
  EXPECT_EQ(this->refused(this->order()).code, result_code::answer_broken);
}

// The claim is written and its answer lost. Unless the router reads back that
// the claim is its own, it refuses an order that it could have run.
TEST_F(once_desk_test, takes_a_claim_that_stands_though_its_answer_was_lost) {
  this->table.fates = {write_fate::lost_after_it_stood};
  const auto ticket = this->claimed();
  EXPECT_FALSE(ticket.etag.empty());
}

// The claim's answer is lost and the row can't be read back, or isn't there
// yet. Dispatched all the same, the order would run twice once a resend finds
// no claim; so the router may not dispatch it.
TEST_F(once_desk_test, does_not_dispatch_under_a_claim_it_cannot_read_back) {
  auto ticket = this->opened();
  this->table.fates = {write_fate::lost_before_it_stood};
  EXPECT_EQ(this->desk.claim(ticket, this->order(), mine, this->permit()),
            result_code::platform_answer_lost);
  this->table.fates = {write_fate::lost_after_it_stood};
  this->table.down_after_loss = true;
  EXPECT_EQ(this->desk.claim(ticket, this->order(), mine, this->permit()),
            result_code::platform_answer_lost);
}

// A resend reaches another router at the same moment, and both look the key up
// before either claims it. Only one of them may dispatch.
TEST_F(once_desk_test, gives_one_of_two_claims_a_conflict) {
  auto first = this->opened();
  auto second = this->opened();
  EXPECT_EQ(this->desk.claim(first, this->order(), other, this->permit()),
            result_code::ok);
  EXPECT_EQ(this->desk.claim(second, this->order(), mine, this->permit()),
            result_code::platform_conflict);
  this->table.fates = {write_fate::lost_before_it_stood};
  EXPECT_EQ(this->desk.claim(second, this->order(), mine, this->permit()),
            result_code::platform_conflict);
}

TEST_F(once_desk_test, refuses_truthfully_while_the_table_is_down) {
  auto ticket = this->opened();
  this->table.down = true;
  EXPECT_EQ(this->desk.claim(ticket, this->order(), mine, this->permit()),
            result_code::platform_down);
  const auto refused = this->refused(this->order());
  EXPECT_EQ(refused.code, result_code::platform_down);
  // An earlier request with this key may have run, so "no" would be untrue.
  EXPECT_EQ(refused.ran, ran_state::unknown);
  EXPECT_GT(refused.retry_after.count(), 0);
}

// The first router dies after its claim and before its dispatch. The agent
// promises that the attempt will now never run, so the resend may: under a
// ticket that guards the row as it stands.
TEST_F(once_desk_test, runs_a_resend_once_the_agent_ruled_the_attempt_out) {
  const auto ticket = this->claimed();
  this->status = wire::attempt_status::never_ran;
  auto again = this->opened();
  EXPECT_EQ(again, ticket);
  EXPECT_EQ(this->desk.claim(again, this->order(), other, this->permit()),
            result_code::ok);
}

// A server is lost with an order in flight and the caller sends it again. The
// order may have gone through, so the resend is told so and does not run.
TEST_F(once_desk_test, says_unknown_when_the_agent_is_gone_or_forgot) {
  this->claimed();
  for (const auto each :
       {wire::attempt_status::forgotten, wire::attempt_status::broken,
        wire::attempt_status::running}) {
    this->status = each;
    EXPECT_EQ(this->refused(this->order()).ran, ran_state::unknown);
  }
  this->agent.stop();
  const auto refused = this->refused(this->order());
  EXPECT_EQ(refused.code, result_code::outcome_unknown);
  EXPECT_EQ(refused.ran, ran_state::unknown);
}

TEST_F(once_desk_test, sweeps_only_rows_older_than_the_retention) {
  this->claimed();
  const auto sweep = [this](milliseconds retention) {
    std::size_t removed = 0;
    for (int shard = 0; shard < 256; ++shard) {
      removed += this->desk.sweep("assistant", static_cast<std::uint8_t>(shard),
                                  retention);
    }
    return removed;
  };
  EXPECT_EQ(sweep(milliseconds(60000)), 0u);
  EXPECT_EQ(sweep(milliseconds(-1000)), 1u);
  EXPECT_TRUE(this->table.rows.empty());
}

}  // namespace
}  // namespace boragehill::router
