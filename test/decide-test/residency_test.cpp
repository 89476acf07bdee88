#include "decide/residency.hpp"

#include <gtest/gtest.h>

#include <boragehill/server_record.hpp>

#include "invariants/loads_only_under_grant.hpp"

namespace boragehill::decide {
namespace {

constexpr milliseconds second{1000};
constexpr std::uint64_t fence = 5;

time_point at(milliseconds time) {
  return time_point(time);
}

template <class Action>
const Action* find_action(const std::vector<residency_action>& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

/// A residency with an engine of 100 bytes whose responses the test supplies.
class residency_test : public testing::Test {
 protected:
  void SetUp() override { this->make({.engine_checks_fence = false}); }

  void make(residency_settings settings) {
    settings.max_order_delivery = second;
    this->own = std::make_unique<residency>(settings, at({}));
  }

  /// Supplies state and grants, and advances to 2 s, when orders may be issued.
  void bring_up(const std::vector<grant>& grants) {
    this->own->tick(at({}));
    this->own->on_engine_state(this->state, at({}));
    this->own->on_fence_taken(fence, at({}));
    this->own->on_grants(this->record(grants), at(milliseconds(1)),
                         at(milliseconds(2)));
    this->own->take_actions();
    this->pass_to(2 * second);
  }

  static server_record record(std::vector<grant> grants) {
    return {.id = "s1", .fence = fence, .grants = std::move(grants)};
  }

  /// Advances to a time and responds to state reads until an order is issued.
  std::optional<send_order> pass_to(milliseconds time) {
    this->own->tick(at(time));
    return this->answer_reads(time);
  }

  std::optional<send_order> answer_reads(milliseconds time) {
    for (;;) {
      const auto actions = this->own->take_actions();
      this->seen.insert(this->seen.end(), actions.begin(), actions.end());
      if (const auto* order = find_action<send_order>(actions)) return *order;
      if (!find_action<read_engine_state>(actions)) return std::nullopt;
      this->own->on_engine_state(this->state, at(time));
    }
  }

  result_code wake(const std::string& model, milliseconds time,
                   const std::string& adapter = {}) {
    return this->own
        ->on_load_request({.model = model,
                           .adapter = adapter,
                           .adapter_bytes = adapter.empty() ? 0U : 10U,
                           .keep_warm = 30 * second},
                          at(time))
        .code;
  }

  /// Requests a load and reports it as done.
  void load(const std::string& model, std::uint64_t bytes, milliseconds time) {
    ASSERT_EQ(this->wake(model, time), result_code::ok);
    const auto order = this->answer_reads(time);
    ASSERT_TRUE(order.has_value());
    this->state.models.push_back({.name = model, .bytes = bytes});
    this->own->on_order_done(order->order, {}, at(time));
    this->answer_reads(time);
  }

  engine_state state{.incarnation = "e1", .capacity_bytes = 100, .slots = 4};
  std::unique_ptr<residency> own;
  std::vector<residency_action> seen;
};

TEST_F(residency_test, loads_a_granted_model_when_woken) {
  this->bring_up({{"a", 60}});
  EXPECT_EQ(this->wake("a", 2 * second), result_code::ok);
  const auto order = this->answer_reads(2 * second);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->order, (engine_order{order_kind::load, "a", 60, fence, 1}));
  EXPECT_EQ(this->own->check_usable("a", ""), result_code::model_not_ready);
  this->own->on_order_done(order->order, {}, at(3 * second));
  EXPECT_EQ(this->own->check_usable("a", ""), result_code::ok);
  EXPECT_EQ(this->own->ledger().reserved(), 60U);
}

TEST_F(residency_test, refuses_a_model_without_grant_and_reads_the_row) {
  this->bring_up({{"a", 60}});
  EXPECT_EQ(this->wake("b", 2 * second), result_code::no_grant);
  EXPECT_NE(find_action<read_grants>(this->own->take_actions()), nullptr);
}

// An agent restarts while an order of its earlier process is in transit to an
// engine that does not check fencing numbers. If the old load arrives after the
// state was read, it and a load by the new process exceed the memory.
TEST_F(residency_test, orders_nothing_before_old_orders_have_died_out) {
  this->own->tick(at({}));
  this->own->on_engine_state(this->state, at({}));
  this->own->on_fence_taken(fence, at({}));
  this->own->on_grants(record({{"a", 60}}), at(milliseconds(1)),
                       at(milliseconds(2)));
  EXPECT_EQ(this->wake("a", milliseconds(3)), result_code::ok);
  EXPECT_FALSE(this->answer_reads(milliseconds(3)).has_value());
  EXPECT_FALSE(this->pass_to(milliseconds(999)).has_value());
  EXPECT_TRUE(this->pass_to(second).has_value());
}

TEST_F(residency_test, fences_a_checking_engine_before_its_first_load) {
  this->make({.engine_checks_fence = true});
  this->own->tick(at({}));
  this->own->on_engine_state(this->state, at({}));
  this->own->on_fence_taken(fence, at({}));
  this->own->on_grants(record({{"a", 60}}), at(milliseconds(1)),
                       at(milliseconds(2)));
  const auto probe = this->answer_reads(milliseconds(2));
  ASSERT_TRUE(probe.has_value());
  EXPECT_EQ(probe->reason, order_reason::fence_engine);
  EXPECT_EQ(this->wake("a", milliseconds(3)), result_code::ok);
  this->own->on_order_done(probe->order, {}, at(milliseconds(4)));
  const auto load = this->answer_reads(milliseconds(4));
  ASSERT_TRUE(load.has_value());
  EXPECT_EQ(load->order.model, "a");
}

TEST_F(residency_test, serves_what_the_engine_holds_before_the_table_answers) {
  this->state.models = {{.name = "a", .bytes = 60}};
  this->own->tick(at({}));
  this->own->on_engine_state(this->state, at({}));
  EXPECT_EQ(this->own->check_usable("a", ""), result_code::ok);
  EXPECT_EQ(this->own->ledger().reserved(), 60U);
}

// The response to a load is lost and the next state read shows no load, as the
// order is still in transit. If its memory were released, a second load could
// fill it before the first arrives.
TEST_F(residency_test, keeps_an_unknown_load_reserved_until_it_is_settled) {
  this->bring_up({{"a", 60}, {"b", 60}});
  this->wake("a", 2 * second);
  const auto order = this->answer_reads(2 * second);
  this->own->on_order_done(order->order, result_code::order_unknown,
                           at(3 * second));
  EXPECT_FALSE(this->answer_reads(3 * second).has_value());
  EXPECT_EQ(this->own->ledger().reserved(), 60U);
  EXPECT_EQ(this->wake("b", 3 * second), result_code::no_memory);
  this->state.models = {
      {.name = "a", .state = engine_model_state::loading, .bytes = 60}};
  this->pass_to(9 * second);
  EXPECT_TRUE(this->own->is_order_outcome_unknown());
  this->state.models = {{.name = "a", .bytes = 60}};
  this->pass_to(11 * second);
  EXPECT_FALSE(this->own->is_order_outcome_unknown());
  EXPECT_EQ(this->own->check_usable("a", ""), result_code::ok);
}

TEST_F(residency_test, releases_an_unknown_load_that_can_no_longer_arrive) {
  this->bring_up({{"a", 60}});
  this->wake("a", 2 * second);
  const auto order = this->answer_reads(2 * second);
  this->own->on_order_done(order->order, result_code::order_unknown,
                           at(3 * second));
  this->answer_reads(3 * second);
  this->pass_to(5 * second);
  EXPECT_EQ(this->own->ledger().reserved(), 0U);
}

// The agent gives up a grant, and a read of the row sent before still shows it.
// If that read were used, a load request would load the model here while the
// home grants it elsewhere: one replica too many.
TEST_F(residency_test, drops_a_reading_of_the_row_begun_before_a_give_up) {
  this->bring_up({{"a", 60}});
  this->own->on_grants_hint(at(2 * second));
  const time_point read_began = at(2 * second);
  this->own->on_retire("a", at(3 * second));
  this->answer_reads(3 * second);
  EXPECT_EQ(this->own->given_up().count("a"), 1U);
  this->own->on_grants(record({{"a", 60}}), read_began, at(4 * second));
  EXPECT_EQ(this->wake("a", 4 * second), result_code::no_grant);
  this->own->on_grants(record({{"a", 60}}), at(5 * second), at(6 * second));
  EXPECT_EQ(this->wake("a", 6 * second), result_code::no_grant);
  this->own->on_grants(record({}), at(7 * second), at(7 * second));
  EXPECT_TRUE(this->own->given_up().empty());
  this->own->on_grants(record({{"a", 60}}), at(8 * second), at(8 * second));
  EXPECT_EQ(this->wake("a", 8 * second), result_code::ok);
}

TEST_F(residency_test, gives_up_only_after_the_engine_confirmed_the_unload) {
  this->bring_up({{"a", 60}});
  this->load("a", 60, 2 * second);
  this->own->on_attempt_began("a", "", at(2 * second));
  this->own->on_retire("a", at(3 * second));
  EXPECT_FALSE(this->answer_reads(3 * second).has_value());
  EXPECT_EQ(this->own->check_usable("a", ""), result_code::no_grant);
  this->own->on_attempt_ended("a", "", at(4 * second));
  const auto order = this->answer_reads(4 * second);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->reason, order_reason::retired);
  EXPECT_TRUE(this->own->given_up().empty());
  this->own->on_order_done(order->order, {}, at(5 * second));
  EXPECT_EQ(this->own->given_up().count("a"), 1U);
}

TEST_F(residency_test, unloads_a_model_whose_grant_vanished_once_it_is_idle) {
  this->bring_up({{"a", 60}});
  this->load("a", 60, 2 * second);
  this->own->on_attempt_began("a", "", at(2 * second));
  this->own->on_grants(record({}), at(3 * second), at(3 * second));
  EXPECT_EQ(this->own->check_usable("a", ""), result_code::no_grant);
  EXPECT_FALSE(this->answer_reads(3 * second).has_value());
  this->own->on_attempt_ended("a", "", at(4 * second));
  const auto order = this->answer_reads(4 * second);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->reason, order_reason::not_granted);
}

TEST_F(residency_test, evicts_an_idle_model_but_never_one_with_work) {
  this->bring_up({{"a", 60}, {"b", 60}});
  this->load("a", 60, 2 * second);
  this->own->on_attempt_began("a", "", at(3 * second));
  EXPECT_EQ(this->wake("b", 3 * second), result_code::no_memory);
  this->own->on_attempt_ended("a", "", at(4 * second));
  EXPECT_EQ(this->wake("b", 4 * second), result_code::ok);
  const auto unload = this->answer_reads(4 * second);
  ASSERT_TRUE(unload.has_value());
  EXPECT_EQ(unload->reason, order_reason::evicted);
  this->state.models.clear();
  this->own->on_order_done(unload->order, {}, at(5 * second));
  const auto load = this->answer_reads(5 * second);
  ASSERT_TRUE(load.has_value());
  EXPECT_EQ(load->order.model, "b");
}

// Two homes request two models on a server with memory for one. If each load
// evicted the other model before its first request, the server would alternate
// loads without ever serving a request.
TEST_F(residency_test, does_not_evict_a_fresh_replica_that_nobody_used_yet) {
  this->bring_up({{"a", 60}, {"b", 60}});
  this->load("a", 60, 2 * second);
  EXPECT_EQ(this->wake("b", 3 * second), result_code::no_memory);
  EXPECT_EQ(this->wake("b", 8 * second), result_code::ok);
}

TEST_F(residency_test, loads_an_adapter_after_its_base_and_unloads_it_before) {
  this->bring_up({{"a", 60}});
  EXPECT_EQ(this->wake("a", 2 * second, "x"), result_code::ok);
  const auto base = this->answer_reads(2 * second);
  EXPECT_EQ(base->order.model, "a");
  this->state.models.push_back({.name = "a", .bytes = 60});
  this->own->on_order_done(base->order, {}, at(3 * second));
  const auto adapter = this->answer_reads(3 * second);
  ASSERT_TRUE(adapter.has_value());
  EXPECT_EQ(adapter->order.model, "a:x");
  this->state.models.push_back({.name = "a:x", .bytes = 10});
  this->own->on_order_done(adapter->order, {}, at(4 * second));
  EXPECT_EQ(this->own->check_usable("a", "x"), result_code::ok);
  EXPECT_EQ(this->own->ledger().reserved(), 70U);
  this->own->on_retire("a", at(5 * second));
  EXPECT_EQ(this->answer_reads(5 * second)->order.model, "a:x");
}

TEST_F(residency_test, unloads_an_idle_replica_past_its_keep_warm_time) {
  this->bring_up({{"a", 60}});
  this->load("a", 60, 2 * second);
  EXPECT_FALSE(this->pass_to(31 * second).has_value());
  const auto order = this->pass_to(32 * second);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->reason, order_reason::keep_warm_expired);
}

// The engine process restarts empty. The agent must not go on sending it
// attempts for a model that is no longer loaded.
TEST_F(residency_test, follows_an_engine_that_restarted_empty) {
  this->bring_up({{"a", 60}});
  this->load("a", 60, 2 * second);
  this->own->on_attempt_began("a", "", at(2 * second));
  this->state = {.incarnation = "e2", .capacity_bytes = 100, .slots = 4};
  this->own->on_engine_suspected(at(3 * second));
  this->answer_reads(3 * second);
  EXPECT_NE(find_action<notify_engine_restarted>(this->seen), nullptr);
  EXPECT_EQ(this->own->ledger().reserved(), 0U);
  EXPECT_EQ(this->own->check_usable("a", ""), result_code::model_not_ready);
  this->own->on_attempt_ended("a", "", at(4 * second));
  EXPECT_EQ(this->wake("a", 4 * second), result_code::ok);
  EXPECT_TRUE(this->answer_reads(4 * second).has_value());
}

TEST_F(residency_test, orders_nothing_more_once_a_later_start_took_over) {
  this->bring_up({{"a", 60}});
  this->wake("a", 2 * second);
  const auto order = this->answer_reads(2 * second);
  this->own->on_order_done(order->order, result_code::order_fenced,
                           at(3 * second));
  EXPECT_EQ(this->wake("a", 3 * second), result_code::draining);
  EXPECT_FALSE(this->pass_to(60 * second).has_value());
}

}  // namespace
}  // namespace boragehill::decide
