#include "decide/fleet_view.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

planned_worker worker_with(const std::string& id,
                           const std::vector<std::string>& models) {
  planned_worker worker;
  worker.list_entry = {.id = id, .service = "assist", .slots = 16};
  worker.report = fleet::worker_report{.server = id};
  for (const auto& name : models) worker.report->models.push_back({name, {}});
  worker.target.models = models;
  worker.total_in_flight = 5;
  return worker;
}

TEST(fleet_view_test, a_version_changes_only_with_the_models) {
  fleet_view view(0.25);
  std::map<std::string, planned_worker> workers{
      {"w0", worker_with("w0", {"m0", "m1"})}, {"w1", worker_with("w1", {})}};
  view.update(workers, {});
  ASSERT_EQ(view.workers().size(), 2U);
  const auto first = view.workers()[0];
  EXPECT_EQ(first.requests, 5);
  EXPECT_EQ(first.capacity, 20);
  EXPECT_EQ(first.models->size(), 2U);
  EXPECT_NE(first.index, view.workers()[1].index);
  workers["w0"].total_in_flight = 9;
  view.update(workers, {{"w0", 2}});
  EXPECT_EQ(view.workers()[0].models_version, first.models_version);
  EXPECT_EQ(view.workers()[0].requests, 9);
  EXPECT_EQ(view.workers()[0].granted, 2);
  workers["w0"].report->models[0].adapters = {"a1"};
  view.update(workers, {});
  EXPECT_NE(view.workers()[0].models_version, first.models_version);
}

TEST(fleet_view_test, leaves_out_models_that_are_being_evicted) {
  fleet_view view(0);
  std::map<std::string, planned_worker> workers{
      {"w0", worker_with("w0", {"m0", "m1"})}};
  workers["w0"].target.models = {"m1"};
  view.update(workers, {});
  ASSERT_EQ(view.workers()[0].models->size(), 1U);
  EXPECT_EQ(view.workers()[0].models->front().name, "m1");
  workers["w0"].list_entry.draining = true;
  view.update(workers, {});
  EXPECT_TRUE(view.workers()[0].models->empty());
}

TEST(fleet_view_test, a_worker_that_its_agent_cannot_reach_holds_nothing) {
  // A hundred routers went on sending to a crashed worker what it had held.
  fleet_view view(0);
  std::map<std::string, planned_worker> workers{
      {"w0", worker_with("w0", {"m0"})}};
  view.update(workers, {});
  const auto version = view.workers()[0].models_version;
  workers["w0"].report.reset();
  view.update(workers, {});
  ASSERT_EQ(view.workers().size(), 1U);
  EXPECT_TRUE(view.workers()[0].models->empty());
  EXPECT_NE(view.workers()[0].models_version, version);
}

TEST(fleet_view_test, says_nothing_of_workers_that_have_not_reported_yet) {
  // A new planner knows nothing of them; what the platform lists holds.
  fleet_view view(0);
  std::map<std::string, planned_worker> workers{
      {"w0", worker_with("w0", {"m0"})}};
  view.update(workers, {});
  workers["w0"].report.reset();
  view.clear();
  view.update(workers, {});
  EXPECT_TRUE(view.workers().empty());
}

TEST(fleet_view_test, a_worker_that_comes_back_is_a_new_one) {
  // Routers would keep what they were told of the one before.
  fleet_view view(0);
  const std::map<std::string, planned_worker> workers{
      {"w0", worker_with("w0", {"m0"})}};
  view.update(workers, {});
  const auto first = view.workers()[0];
  view.update({}, {});
  EXPECT_TRUE(view.workers().empty());
  view.update(workers, {});
  EXPECT_NE(view.workers()[0].index, first.index);
  EXPECT_NE(view.workers()[0].models_version, first.models_version);
}

}  // namespace
}  // namespace boragehill::decide
