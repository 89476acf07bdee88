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
    this->subject = std::make_unique<residency>(settings, at({}));
  }

  /// Supplies state and grants, and advances to 2 s, when orders may be issued.
  void start_up(const std::vector<grant>& grants) {
    this->subject->tick(at({}));
    this->subject->on_engine_state(this->state, at({}));
    this->subject->on_fence_taken(fence, at({}));
    this->subject->on_grants(this->record(grants), at(milliseconds(1)),
                             at(milliseconds(2)));
    this->subject->take_actions();
    this->advance_to(2 * second);
  }

  static server_record record(std::vector<grant> grants) {
    return {.id = "s1", .fence = fence, .grants = std::move(grants)};
  }

  /// Advances to a time and responds to state reads until an order is issued.
  std::optional<send_order> advance_to(milliseconds time) {
    this->subject->tick(at(time));
    return this->respond_to_reads(time);
  }

  std::optional<send_order> respond_to_reads(milliseconds time) {
    for (;;) {
      const auto actions = this->subject->take_actions();
      this->seen_actions.insert(this->seen_actions.end(), actions.begin(),
                                actions.end());
      if (const auto* order = find_action<send_order>(actions)) return *order;
      if (!find_action<read_engine_state>(actions)) return std::nullopt;
      this->subject->on_engine_state(this->state, at(time));
    }
  }

  result_code request_load(const std::string& model, milliseconds time,
                           const std::string& adapter = {}) {
    return this->subject
        ->on_load_request({.model = model,
                           .adapter = adapter,
                           .adapter_bytes = adapter.empty() ? 0U : 10U,
                           .keep_warm = 30 * second},
                          at(time))
        .code;
  }

  /// Requests a load and reports it as done.
  void load(const std::string& model, std::uint64_t bytes, milliseconds time) {
    ASSERT_EQ(this->request_load(model, time), result_code::ok);
    const auto order = this->respond_to_reads(time);
    ASSERT_TRUE(order.has_value());
    this->state.models.push_back({.name = model, .bytes = bytes});
    this->subject->on_order_done(order->order, {}, at(time));
    this->respond_to_reads(time);
  }

  engine_state state{.incarnation = "e1", .capacity_bytes = 100, .slots = 4};
  std::unique_ptr<residency> subject;
  std::vector<residency_action> seen_actions;
};

TEST_F(residency_test, loads_a_granted_model_on_demand) {
  this->start_up({{"a", 60}});
  EXPECT_EQ(this->request_load("a", 2 * second), result_code::ok);
  const auto order = this->respond_to_reads(2 * second);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->order, (engine_order{order_kind::load, "a", 60, fence, 1}));
  EXPECT_EQ(this->subject->check_usable("a", ""), result_code::model_not_ready);
  this->subject->on_order_done(order->order, {}, at(3 * second));
  EXPECT_EQ(this->subject->check_usable("a", ""), result_code::ok);
  EXPECT_EQ(this->subject->ledger().reserved(), 60U);
}

TEST_F(residency_test, rejects_a_model_without_grant_and_reads_the_row) {
  this->start_up({{"a", 60}});
  EXPECT_EQ(this->request_load("b", 2 * second), result_code::no_grant);
  EXPECT_NE(find_action<read_grants>(this->subject->take_actions()), nullptr);
}

// An agent restarts while an order of its earlier process is in transit to an
// engine that does not check fencing numbers. If the old load arrives after the
// state was read, it and a load by the new process exceed the memory.
TEST_F(residency_test, issues_no_order_before_old_orders_expired) {
  this->subject->tick(at({}));
  this->subject->on_engine_state(this->state, at({}));
  this->subject->on_fence_taken(fence, at({}));
  this->subject->on_grants(record({{"a", 60}}), at(milliseconds(1)),
                           at(milliseconds(2)));
  EXPECT_EQ(this->request_load("a", milliseconds(3)), result_code::ok);
  EXPECT_FALSE(this->respond_to_reads(milliseconds(3)).has_value());
  EXPECT_FALSE(this->advance_to(milliseconds(999)).has_value());
  EXPECT_TRUE(this->advance_to(second).has_value());
}

TEST_F(residency_test, fences_a_checking_engine_before_the_first_load) {
  this->make({.engine_checks_fence = true});
  this->subject->tick(at({}));
  this->subject->on_engine_state(this->state, at({}));
  this->subject->on_fence_taken(fence, at({}));
  this->subject->on_grants(record({{"a", 60}}), at(milliseconds(1)),
                           at(milliseconds(2)));
  const auto probe = this->respond_to_reads(milliseconds(2));
  ASSERT_TRUE(probe.has_value());
  EXPECT_EQ(probe->reason, order_reason::fence_engine);
  EXPECT_EQ(this->request_load("a", milliseconds(3)), result_code::ok);
  this->subject->on_order_done(probe->order, {}, at(milliseconds(4)));
  const auto load = this->respond_to_reads(milliseconds(4));
  ASSERT_TRUE(load.has_value());
  EXPECT_EQ(load->order.model, "a");
}

TEST_F(residency_test, serves_loaded_models_before_the_table_responds) {
  this->state.models = {{.name = "a", .bytes = 60}};
  this->subject->tick(at({}));
  this->subject->on_engine_state(this->state, at({}));
  EXPECT_EQ(this->subject->check_usable("a", ""), result_code::ok);
  EXPECT_EQ(this->subject->ledger().reserved(), 60U);
}

// The response to a load is lost and the next state read shows no load, as the
// order is still in transit. If its memory were released, a second load could
// fill it before the first arrives.
TEST_F(residency_test, keeps_memory_reserved_while_a_loads_outcome_is_unknown) {
  this->start_up({{"a", 60}, {"b", 60}});
  this->request_load("a", 2 * second);
  const auto order = this->respond_to_reads(2 * second);
  this->subject->on_order_done(order->order, result_code::order_unknown,
                               at(3 * second));
  EXPECT_FALSE(this->respond_to_reads(3 * second).has_value());
  EXPECT_EQ(this->subject->ledger().reserved(), 60U);
  EXPECT_EQ(this->request_load("b", 3 * second), result_code::no_memory);
  this->state.models = {
      {.name = "a", .state = engine_model_state::loading, .bytes = 60}};
  this->advance_to(9 * second);
  EXPECT_TRUE(this->subject->is_order_outcome_unknown());
  this->state.models = {{.name = "a", .bytes = 60}};
  this->advance_to(11 * second);
  EXPECT_FALSE(this->subject->is_order_outcome_unknown());
  EXPECT_EQ(this->subject->check_usable("a", ""), result_code::ok);
}

TEST_F(residency_test, releases_an_unconfirmed_load_after_the_delivery_time) {
  this->start_up({{"a", 60}});
  this->request_load("a", 2 * second);
  const auto order = this->respond_to_reads(2 * second);
  this->subject->on_order_done(order->order, result_code::order_unknown,
                               at(3 * second));
  this->respond_to_reads(3 * second);
  this->advance_to(5 * second);
  EXPECT_EQ(this->subject->ledger().reserved(), 0U);
}

// The agent gives up a grant, and a read of the row sent before still shows it.
// If that read were used, a load request would load the model here while the
// home grants it elsewhere: one replica too many.
TEST_F(residency_test, discards_a_row_read_begun_before_a_give_up) {
  this->start_up({{"a", 60}});
  this->subject->on_grants_hint(at(2 * second));
  const time_point read_began = at(2 * second);
  this->subject->on_retire("a", at(3 * second));
  this->respond_to_reads(3 * second);
  EXPECT_EQ(this->subject->given_up().count("a"), 1U);
  this->subject->on_grants(record({{"a", 60}}), read_began, at(4 * second));
  EXPECT_EQ(this->request_load("a", 4 * second), result_code::no_grant);
  this->subject->on_grants(record({{"a", 60}}), at(5 * second), at(6 * second));
  EXPECT_EQ(this->request_load("a", 6 * second), result_code::no_grant);
  this->subject->on_grants(record({}), at(7 * second), at(7 * second));
  EXPECT_TRUE(this->subject->given_up().empty());
  this->subject->on_grants(record({{"a", 60}}), at(8 * second), at(8 * second));
  EXPECT_EQ(this->request_load("a", 8 * second), result_code::ok);
}

TEST_F(residency_test, gives_up_only_after_the_engine_confirmed_the_unload) {
  this->start_up({{"a", 60}});
  this->load("a", 60, 2 * second);
  this->subject->on_attempt_began("a", "", at(2 * second));
  this->subject->on_retire("a", at(3 * second));
  EXPECT_FALSE(this->respond_to_reads(3 * second).has_value());
  EXPECT_EQ(this->subject->check_usable("a", ""), result_code::no_grant);
  this->subject->on_attempt_ended("a", "", at(4 * second));
  const auto order = this->respond_to_reads(4 * second);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->reason, order_reason::retired);
  EXPECT_TRUE(this->subject->given_up().empty());
  this->subject->on_order_done(order->order, {}, at(5 * second));
  EXPECT_EQ(this->subject->given_up().count("a"), 1U);
}

TEST_F(residency_test, unloads_an_idle_model_whose_grant_was_removed) {
  this->start_up({{"a", 60}});
  this->load("a", 60, 2 * second);
  this->subject->on_attempt_began("a", "", at(2 * second));
  this->subject->on_grants(record({}), at(3 * second), at(3 * second));
  EXPECT_EQ(this->subject->check_usable("a", ""), result_code::no_grant);
  EXPECT_FALSE(this->respond_to_reads(3 * second).has_value());
  this->subject->on_attempt_ended("a", "", at(4 * second));
  const auto order = this->respond_to_reads(4 * second);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->reason, order_reason::not_granted);
}

TEST_F(residency_test, evicts_only_models_without_running_attempts) {
  this->start_up({{"a", 60}, {"b", 60}});
  this->load("a", 60, 2 * second);
  this->subject->on_attempt_began("a", "", at(3 * second));
  EXPECT_EQ(this->request_load("b", 3 * second), result_code::no_memory);
  this->subject->on_attempt_ended("a", "", at(4 * second));
  EXPECT_EQ(this->request_load("b", 4 * second), result_code::ok);
  const auto unload = this->respond_to_reads(4 * second);
  ASSERT_TRUE(unload.has_value());
  EXPECT_EQ(unload->reason, order_reason::evicted);
  this->state.models.clear();
  this->subject->on_order_done(unload->order, {}, at(5 * second));
  const auto load = this->respond_to_reads(5 * second);
  ASSERT_TRUE(load.has_value());
  EXPECT_EQ(load->order.model, "b");
}

// Two homes request two models on a server with memory for one. If each load
// evicted the other model before its first request, the server would alternate
// loads without ever serving a request.
TEST_F(residency_test, does_not_evict_a_replica_before_its_first_use) {
  this->start_up({{"a", 60}, {"b", 60}});
  this->load("a", 60, 2 * second);
  EXPECT_EQ(this->request_load("b", 3 * second), result_code::no_memory);
  EXPECT_EQ(this->request_load("b", 8 * second), result_code::ok);
}

TEST_F(residency_test, loads_an_adapter_after_its_base_and_unloads_it_before) {
  this->start_up({{"a", 60}});
  EXPECT_EQ(this->request_load("a", 2 * second, "x"), result_code::ok);
  const auto base = this->respond_to_reads(2 * second);
  EXPECT_EQ(base->order.model, "a");
  this->state.models.push_back({.name = "a", .bytes = 60});
  this->subject->on_order_done(base->order, {}, at(3 * second));
  const auto adapter = this->respond_to_reads(3 * second);
  ASSERT_TRUE(adapter.has_value());
  EXPECT_EQ(adapter->order.model, "a:x");
  this->state.models.push_back({.name = "a:x", .bytes = 10});
  this->subject->on_order_done(adapter->order, {}, at(4 * second));
  EXPECT_EQ(this->subject->check_usable("a", "x"), result_code::ok);
  EXPECT_EQ(this->subject->ledger().reserved(), 70U);
  this->subject->on_retire("a", at(5 * second));
  EXPECT_EQ(this->respond_to_reads(5 * second)->order.model, "a:x");
}

TEST_F(residency_test, unloads_an_idle_replica_past_its_keep_warm_time) {
  this->start_up({{"a", 60}});
  this->load("a", 60, 2 * second);
  EXPECT_FALSE(this->advance_to(31 * second).has_value());
  const auto order = this->advance_to(32 * second);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->reason, order_reason::keep_warm_expired);
}

// The engine process restarts empty. The agent must not go on sending it
// attempts for a model that is no longer loaded.
TEST_F(residency_test, drops_models_after_the_engine_restarted_empty) {
  this->start_up({{"a", 60}});
  this->load("a", 60, 2 * second);
  this->subject->on_attempt_began("a", "", at(2 * second));
  this->state = {.incarnation = "e2", .capacity_bytes = 100, .slots = 4};
  this->subject->on_engine_suspected(at(3 * second));
  this->respond_to_reads(3 * second);
  EXPECT_NE(find_action<notify_engine_restarted>(this->seen_actions), nullptr);
  EXPECT_EQ(this->subject->ledger().reserved(), 0U);
  EXPECT_EQ(this->subject->check_usable("a", ""), result_code::model_not_ready);
  this->subject->on_attempt_ended("a", "", at(4 * second));
  EXPECT_EQ(this->request_load("a", 4 * second), result_code::ok);
  EXPECT_TRUE(this->respond_to_reads(4 * second).has_value());
}

TEST_F(residency_test, issues_no_order_after_being_superseded) {
  this->start_up({{"a", 60}});
  this->request_load("a", 2 * second);
  const auto order = this->respond_to_reads(2 * second);
  this->subject->on_order_done(order->order, result_code::order_fenced,
                               at(3 * second));
  EXPECT_EQ(this->request_load("a", 3 * second), result_code::draining);
  EXPECT_FALSE(this->advance_to(60 * second).has_value());
}

}  // namespace
}  // namespace boragehill::decide
