#include "decide/worker_orders.hpp"

#include <gtest/gtest.h>

#include "decide/next_order.hpp"

namespace boragehill::decide {
namespace {

using fleet::order_answer;
using kind = fleet::worker_order::kind;

const time_point now{std::chrono::seconds(100)};

fleet::service service_for_three_models() {
  fleet::service service{.name = "assist",
                         .has_engine = true,
                         .weights_mb = 230,
                         .adapter_places = 2};
  for (const char* name : {"a", "b", "c", "d"}) {
    service.models.push_back({.name = name, .weights_mb = 70, .adapter_mb = 1});
  }
  return service;
}

fleet::worker_report report_with(const std::vector<std::string>& models,
                                 std::int64_t sequence) {
  fleet::worker_report report{.sequence = sequence};
  for (const auto& model : models) report.models.push_back({model, {}});
  return report;
}

worker_orders ready_orders() {
  worker_orders orders("agent-1", "assist");
  orders.set_fence(7);
  orders.set_service(service_for_three_models());
  return orders;
}

TEST(worker_orders_test, unloads_a_model_before_a_load_that_does_not_fit) {
  const residency_target target{.models = {"a", "b", "d"}};
  const auto first = next_order(report_with({"a", "b", "c"}, 0), {}, target,
                                service_for_three_models());
  EXPECT_EQ(first, (target_order{.what = kind::unload, .model = "c"}));
  const auto second = next_order(report_with({"a", "b"}, 1), {}, target,
                                 service_for_three_models());
  EXPECT_EQ(second, (target_order{.what = kind::load, .model = "d"}));
}

TEST(worker_orders_test, orders_nothing_beyond_memory_whatever_the_target) {
  // A planner with an outdated view wants four models where three fit. A worker
  // that is ordered to load more than it can hold crashes, and all its requests
  // are lost.
  const residency_target target{.models = {"a", "b", "c", "d"}};
  EXPECT_EQ(next_order(report_with({"a", "b", "c"}, 0), {}, target,
                       service_for_three_models()),
            std::nullopt);
}

TEST(worker_orders_test, orders_nothing_while_a_model_is_loading) {
  // The report names a model only once it is loaded: an adapter ordered
  // meanwhile would take its memory, and the worker would reject it anyway.
  auto report = report_with({"a", "b"}, 0);
  const residency_target target{.models = {"a", "b", "c"}, .adapters = {"a/x"}};
  EXPECT_EQ(next_order(report, "c", target, service_for_three_models()),
            std::nullopt);
  report.busy = true;
  EXPECT_EQ(next_order(report, "", target, service_for_three_models()),
            std::nullopt);
  report.busy = false;
  EXPECT_EQ(next_order(report, "", target, service_for_three_models()),
            (target_order{.what = kind::load, .model = "a", .adapter = "x"}));
}

TEST(worker_orders_test, respects_the_adapter_slots) {
  auto report = report_with({"a"}, 0);
  report.models[0].adapters = {"x"};
  report.coming = {"a/y"};
  const residency_target target{.models = {"a"},
                                .adapters = {"a/x", "a/y", "a/z"}};
  EXPECT_EQ(next_order(report, {}, target, service_for_three_models()),
            std::nullopt);
  report.coming.clear();
  report.models[0].adapters = {"x", "w"};
  EXPECT_EQ(next_order(report, {}, target, service_for_three_models()),
            (target_order{.what = kind::unload, .model = "a", .adapter = "w"}));
}

TEST(worker_orders_test, loads_no_model_of_unknown_size) {
  const residency_target target{.models = {"new"}};
  EXPECT_EQ(
      next_order(report_with({}, 0), {}, target, service_for_three_models()),
      std::nullopt);
}

TEST(worker_orders_test, issues_nothing_without_fence_catalog_or_target) {
  worker_orders orders("agent-1", "assist");
  orders.on_report(report_with({}, 0), now);
  orders.set_target("i-1", {.models = {"a"}});
  EXPECT_EQ(orders.next(now), std::nullopt);
  orders.set_service(service_for_three_models());
  EXPECT_EQ(orders.next(now), std::nullopt);
  orders.set_fence(7);
  const auto order = orders.next(now);
  ASSERT_TRUE(order);
  EXPECT_EQ(order->holder, "agent-1");
  EXPECT_EQ(order->fence, 7);
  EXPECT_EQ(order->server, "i-1");
}

TEST(worker_orders_test, issues_one_order_at_a_time_and_awaits_a_report) {
  auto orders = ready_orders();
  orders.on_report(report_with({}, 3), now);
  orders.set_target("i-1", {.models = {"a", "b"}});
  const auto first = orders.next(now);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->expected, 3);
  EXPECT_EQ(orders.next(now), std::nullopt);
  orders.on_response(*first, order_answer::accepted, now);
  EXPECT_EQ(orders.loading(), "a");
  EXPECT_EQ(orders.next(now), std::nullopt);
  auto busy = report_with({}, 4);
  busy.busy = true;
  orders.on_report(busy, now);
  EXPECT_EQ(orders.next(now), std::nullopt);
  orders.on_report(report_with({"a"}, 4), now);
  EXPECT_EQ(orders.loading(), "");
  const auto second = orders.next(now);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->model, "b");
  EXPECT_EQ(second->expected, 4);
}

TEST(worker_orders_test, a_delayed_order_does_not_overcommit_memory) {
  // The response to "load a" is lost, and then the planner wants b. Both orders
  // expect sequence 3, so the worker executes only one of them. If it is the
  // late one, the agent sees the worker busy with it and orders nothing.
  auto orders = ready_orders();
  orders.on_report(report_with({"c", "d"}, 3), now);
  orders.set_target("i-1", {.models = {"c", "d", "a"}});
  const auto lost = orders.next(now);
  ASSERT_TRUE(lost);
  orders.on_response(*lost, order_answer::unknown, now);
  orders.set_target("i-1", {.models = {"c", "d", "b"}});
  orders.on_report(report_with({"c", "d"}, 3), now);
  EXPECT_EQ(orders.next(now), std::nullopt);
  const auto later = now + worker_orders::unknown_response_delay;
  const auto second = orders.next(later);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->expected, lost->expected);
  orders.on_response(*second, order_answer::conflict, later);
  auto busy = report_with({"c", "d"}, 4);
  busy.busy = true;
  const auto end = later + std::chrono::seconds(1);
  orders.on_report(busy, end);
  EXPECT_EQ(orders.next(end), std::nullopt);
  orders.on_report(report_with({"c", "d", "a"}, 4), end);
  const auto third = orders.next(end);
  ASSERT_TRUE(third);
  EXPECT_EQ(third->what, kind::unload);
  EXPECT_EQ(third->model, "a");
}

TEST(worker_orders_test, a_restart_discards_the_load_in_progress) {
  auto orders = ready_orders();
  orders.on_report(report_with({}, 3), now);
  orders.set_target("i-1", {.models = {"a"}});
  const auto first = orders.next(now);
  ASSERT_TRUE(first);
  orders.on_response(*first, order_answer::accepted, now);
  auto before = report_with({}, 4);
  before.busy = true;
  orders.on_report(before, now);
  orders.on_report(report_with({}, 0), now);
  EXPECT_EQ(orders.loading(), "");
}

fleet::worker_report report_of_incarnation(std::int64_t start,
                                           std::int64_t sequence) {
  auto report = report_with({}, sequence);
  report.born = start;
  return report;
}

TEST(worker_orders_test, issues_orders_after_an_unnoticed_restart) {
  // The worker accepts a load, crashes and restarts with its sequence number
  // reset before the next report. The agent waited forever for the load's
  // sequence number and issued no more orders.
  auto orders = ready_orders();
  orders.set_target("i-1@5", {.models = {"a"}}, 5);
  orders.on_report(report_of_incarnation(5, 0), now);
  const auto first = orders.next(now);
  ASSERT_TRUE(first);
  orders.on_response(*first, order_answer::accepted, now);
  orders.set_target("i-1@6", {.models = {"b"}}, 6);
  orders.on_report(report_of_incarnation(6, 0), now);
  const auto next = orders.next(now);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->model, "b");
  EXPECT_EQ(next->server, "i-1@6");
}

TEST(worker_orders_test, detects_a_restart_by_the_start_time) {
  // The new incarnation has accepted as many orders as the old one. Only the
  // start times differ; the new one may be earlier or later.
  for (const std::int64_t new_start : {4, 6}) {
    auto orders = ready_orders();
    orders.set_target("i-1", {.models = {"a"}}, 5);
    orders.on_report(report_of_incarnation(5, 0), now);
    const auto first = orders.next(now);
    ASSERT_TRUE(first);
    orders.on_response(*first, order_answer::accepted, now);
    auto busy = report_of_incarnation(new_start, 0);
    busy.busy = true;
    orders.on_report(busy, now);
    EXPECT_TRUE(orders.loading().empty());
  }
}

TEST(worker_orders_test, issues_nothing_decided_for_another_incarnation) {
  // The planner's target dates from before the restart, when the worker held
  // two models. The worker's id is unchanged, so it would accept the order.
  auto orders = ready_orders();
  orders.set_target("i-1", {.models = {"a"}}, 5);
  orders.on_report(report_of_incarnation(6, 0), now);
  EXPECT_FALSE(orders.next(now));
  orders.set_target("i-1", {.models = {"a"}}, 6);
  EXPECT_TRUE(orders.next(now));
}

TEST(worker_orders_test, reserves_memory_for_a_delayed_order_after_a_restart) {
  // A load order gets no response, and the worker restarts with the same id.
  // When its sequence number reaches the one that the order expects, the order
  // arrives. If the worker has been filled meanwhile, it has to load more than
  // it can hold and crashes.
  auto orders = ready_orders();
  orders.set_target("i-1", {.models = {"a"}}, 5);
  orders.on_report(report_of_incarnation(5, 2), now);
  const auto lost = orders.next(now);
  ASSERT_TRUE(lost);
  orders.on_response(*lost, order_answer::unknown, now);
  auto restarted = report_with({"b", "c"}, 2);
  restarted.born = 6;
  orders.set_target("i-1", {.models = {"b", "c", "d"}}, 6);
  orders.on_report(restarted, now);
  EXPECT_FALSE(orders.next(now));
  const auto later = now + worker_orders::max_order_delay;
  const auto next = orders.next(later);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->model, "d");
}

TEST(worker_orders_test, reserves_memory_for_an_order_in_flight_at_a_restart) {
  auto orders = ready_orders();
  orders.set_target("i-1", {.models = {"a"}}, 5);
  orders.on_report(report_of_incarnation(5, 0), now);
  const auto lost = orders.next(now);
  ASSERT_TRUE(lost);
  auto restarted = report_with({"b", "c"}, 0);
  restarted.born = 6;
  orders.on_report(restarted, now);
  orders.on_response(*lost, order_answer::unknown, now);
  orders.on_report(restarted, now);
  orders.set_target("i-1", {.models = {"b", "c", "d"}}, 6);
  EXPECT_FALSE(orders.next(now + milliseconds(200)));
}

}  // namespace
}  // namespace boragehill::decide
