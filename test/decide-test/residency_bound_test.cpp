#include <algorithm>
#include <gtest/gtest.h>
#include <set>
#include <string>
#include <vector>

#include "decide/residency_planner.hpp"
#include "simulated_fleet.hpp"

namespace boragehill::decide {
namespace {

/// Workers of several software versions; those of the version "b" have a copy
/// of the model m0 on their disks.
class mixed_fleet : public simulated_fleet {
 public:
  explicit mixed_fleet(const std::vector<std::string>& software, int models = 8)
      : simulated_fleet(static_cast<int>(software.size()), models) {
    for (std::size_t index = 0; index < software.size(); ++index) {
      const std::string id = "w" + std::to_string(index);
      this->list.servers[id].software = software[index];
      if (software[index] == "b") this->set_disk_copies(id, {"m0"});
    }
    this->planner.set_servers(this->list, this->now);
  }

  /// \return The workers where a step starts loads of a model.
  std::vector<std::string> loads_of(const std::string& model) {
    std::vector<std::string> workers;
    for (const auto& each : this->planner.step(this->now)) {
      if (each.model == model) workers.push_back(each.server);
    }
    return workers;
  }

  void set_draining(const std::string& worker, bool is_draining = true) {
    this->list.servers[worker].draining = is_draining;
    this->planner.set_servers(this->list, this->now);
  }

  std::vector<std::string> adapters_at(const std::string& worker) const {
    return this->planner.workers().at(worker).target.adapters;
  }
};

using names = std::vector<std::string>;

/// Streams that go on at one version only.
model_demand bound_demand(const std::string& model, const std::string& software,
                          int count = 1) {
  return {.service = "assist",
          .model = model,
          .software = software,
          .waiting = count,
          .oldest_wait = milliseconds(600),
          .weight = static_cast<double>(count)};
}

model_demand bound_adapter_demand(const std::string& adapter,
                                  const std::string& software) {
  auto demand = bound_demand("m0", software);
  demand.adapter = adapter;
  return demand;
}

// Guards against streams that can't go on because only another version has
// their model.
TEST(residency_bound_test, loads_a_model_that_another_version_holds) {
  mixed_fleet fleet({"a", "b"});
  fleet.add_models("w0", {"m0"});
  fleet.send_reports();
  fleet.send_demand({waiting_demand("m0")});
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  fleet.send_demand({bound_demand("m0", "b")});
  EXPECT_EQ(fleet.loads_of("m0"), names{"w1"});
  EXPECT_EQ(fleet.workers_with_target("m0"),
            (std::set<std::string>{"w0", "w1"}));
}

TEST(residency_bound_test, loads_nothing_that_its_version_holds) {
  mixed_fleet fleet({"a", "b", "b"});
  fleet.add_models("w1", {"m0"});
  fleet.send_reports();
  fleet.send_demand({bound_demand("m0", "b", 50)});
  EXPECT_EQ(fleet.loads_of("m0"), names{});
}

// Guards against a load per step, per router or per adapter.
TEST(residency_bound_test, loads_a_model_once) {
  mixed_fleet fleet({"a", "b", "b", "b"});
  fleet.add_models("w0", {"m0"});
  fleet.send_reports();
  const std::vector<model_demand> demands{bound_demand("m0", "b"),
                                          bound_adapter_demand("x", "b"),
                                          bound_adapter_demand("y", "b")};
  fleet.send_demand(demands);
  fleet.send_demand_from("r2", demands, {});
  EXPECT_EQ(fleet.loads_of("m0").size(), 1U);
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  fleet.now += milliseconds(100);
  fleet.send_reports();
  fleet.send_demand(demands);
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  fleet.now += milliseconds(1300);
  fleet.apply_targets();
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 2U);
}

TEST(residency_bound_test, loads_a_model_for_each_version) {
  mixed_fleet fleet({"a", "b", "c"});
  fleet.add_models("w0", {"m0"});
  fleet.set_disk_copies("w2", {"m0"});
  fleet.send_reports();
  fleet.send_demand({bound_demand("m0", "b"), bound_demand("m0", "c")});
  EXPECT_EQ(fleet.loads_of("m0"), (names{"w1", "w2"}));
}

// Guards against a store that is busy with loads for which no caller waits
// long enough.
TEST(residency_bound_test, loads_nothing_from_the_store) {
  mixed_fleet fleet({"a", "b"}, 1);
  fleet.add_models("w0", {"m0"});
  fleet.set_disk_copies("w0", {"m0"});
  fleet.set_disk_copies("w1", {});
  fleet.planner.start(fleet.now);
  for (int step = 0; step < 30; ++step) {
    fleet.send_reports();
    fleet.send_demand({bound_demand("m0", "b")});
    EXPECT_EQ(fleet.loads_of("m0"), names{});
    fleet.now += milliseconds(200);
  }
  fleet.set_disk_copies("w1", {"m0"});
  fleet.send_reports();
  EXPECT_EQ(fleet.loads_of("m0"), names{"w1"});
}

TEST(residency_bound_test, loads_nothing_where_no_worker_has_its_version) {
  mixed_fleet fleet({"a", "b"});
  fleet.set_disk_copies("w0", {"m0"});
  fleet.send_reports();
  fleet.send_demand({bound_demand("m0", "c"), bound_demand("other", "b")});
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  EXPECT_EQ(fleet.loads_of("other"), names{});
}

// Guards against a load for callers that have gone.
TEST(residency_bound_test, loads_nothing_for_an_old_report) {
  mixed_fleet fleet({"a", "b"}, 1);
  fleet.add_models("w0", {"m0"});
  fleet.send_reports();
  fleet.set_draining("w1");
  fleet.send_demand({bound_demand("m0", "b")});
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  fleet.set_draining("w1", false);
  fleet.send_demand({});
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  fleet.send_demand({bound_demand("m0", "b")});
  fleet.planner.on_router_removed("r1");
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  fleet.send_demand({bound_demand("m0", "b")});
  EXPECT_EQ(fleet.loads_of("m0"), names{"w1"});
}

TEST(residency_bound_test, loads_nothing_at_a_draining_worker) {
  mixed_fleet fleet({"a", "b", "b", "b"});
  fleet.add_models("w0", {"m0"});
  fleet.add_models("w1", {"m0"});
  fleet.send_reports();
  fleet.send_demand({bound_demand("m0", "b")});
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  // What a draining worker holds is of no use to the stream.
  fleet.set_draining("w1");
  fleet.set_draining("w2");
  EXPECT_EQ(fleet.loads_of("m0"), names{"w3"});
}

TEST(residency_bound_test, loads_nothing_at_a_worker_that_says_it_leaves) {
  mixed_fleet fleet({"a", "b", "b"});
  fleet.add_models("w0", {"m0"});
  fleet.reports["w1"].leaving = true;
  fleet.send_reports();
  fleet.send_demand({bound_demand("m0", "b")});
  EXPECT_EQ(fleet.loads_of("m0"), names{"w2"});
}

TEST(residency_bound_test, loads_nothing_at_an_unresponsive_worker) {
  mixed_fleet fleet({"a", "b", "b", "b"});
  fleet.add_models("w0", {"m0"});
  fleet.add_models("w1", {"m0"});
  fleet.send_reports();
  fleet.send_unresponsive({"w1", "w2"}, {bound_demand("m0", "b")}, {});
  EXPECT_EQ(fleet.loads_of("m0"), names{"w3"});
}

TEST(residency_bound_test, loads_nothing_at_a_worker_without_a_late_report) {
  mixed_fleet fleet({"a", "b", "b"});
  fleet.add_models("w0", {"m0"});
  fleet.send_reports();
  fleet.now += std::chrono::seconds(2);
  for (const char* worker : {"w0", "w2"}) {
    fleet.planner.on_report(worker, fleet.reports[worker], fleet.now);
  }
  fleet.send_demand({bound_demand("m0", "b")});
  EXPECT_EQ(fleet.loads_of("m0"), names{"w2"});
}

TEST(residency_bound_test, loads_nothing_at_a_rate_limited_worker) {
  mixed_fleet fleet({"a", "b", "b"});
  fleet.add_models("w0", {"m0"});
  fleet.send_reports();
  fleet.send_demand({bound_demand("m0", "b")});
  fleet.planner.set_rate_limited_workers(
      [](const std::string& worker) { return worker != "w0"; });
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  fleet.planner.set_rate_limited_workers(
      [](const std::string& worker) { return worker == "w1"; });
  EXPECT_EQ(fleet.loads_of("m0"), names{"w2"});
}

// Guards against a worker of another version that loads for a stream which may
// not go on there.
TEST(residency_bound_test, loads_nothing_at_other_versions) {
  mixed_fleet fleet({"a", "b"});
  fleet.set_disk_copies("w0", {"m0"});
  fleet.set_disk_copies("w1", {});
  fleet.send_reports();
  fleet.send_demand({bound_demand("m0", "b", 20)});
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  EXPECT_FALSE(fleet.planner.expected_ready_times().contains("m0"));
}

TEST(residency_bound_test, bound_requests_are_not_waiting_for_other_versions) {
  mixed_fleet fleet({"a", "b"});
  fleet.set_disk_copies("w0", {"m0"});
  fleet.set_disk_copies("w1", {});
  fleet.send_reports();
  fleet.send_demand({bound_demand("m0", "b", 20), waiting_demand("m0", 3)});
  const auto decided = fleet.planner.step(fleet.now);
  const auto load = std::find_if(
      decided.begin(), decided.end(),
      [](const load_decision& each) { return each.model == "m0"; });
  ASSERT_NE(load, decided.end());
  EXPECT_EQ(load->server, "w0");
  EXPECT_EQ(load->waiting, 3);
}

// Guards against further replicas elsewhere for streams that wait for a slot.
TEST(residency_bound_test, bound_requests_scale_nothing_out) {
  mixed_fleet fleet({"b", "a", "a"});
  fleet.add_models("w0", {"m0"});
  fleet.set_disk_copies("w1", {"m0"});
  fleet.send_reports();
  fleet.now += std::chrono::seconds(2);
  fleet.send_reports();
  fleet.send_demand({bound_demand("m0", "b", 40)}, {{"w0", "m0", {}, 4}});
  EXPECT_EQ(fleet.loads_of("m0"), names{});
  fleet.send_demand({waiting_demand("m0", 40)}, {{"w0", "m0", {}, 4}});
  EXPECT_FALSE(fleet.loads_of("m0").empty());
}

// Guards against an adapter that is loaded where its streams may not go on.
TEST(residency_bound_test, an_adapter_goes_to_the_bound_version) {
  mixed_fleet fleet({"a", "b", "b"});
  fleet.add_models("w0", {"m0"});
  fleet.add_models("w1", {"m0"});
  fleet.reports["w0"].models[0].adapters = {"x"};
  fleet.send_reports();
  fleet.send_demand({bound_adapter_demand("x", "b")});
  fleet.step();
  EXPECT_EQ(fleet.adapters_at("w0"), names{"m0/x"});
  EXPECT_EQ(fleet.adapters_at("w1"), names{"m0/x"});
  fleet.step();
  EXPECT_EQ(fleet.adapters_at("w0"), names{"m0/x"});
  EXPECT_EQ(fleet.adapters_at("w1"), names{"m0/x"});
  EXPECT_EQ(fleet.adapters_at("w2"), names{});
}

TEST(residency_bound_test, an_adapter_waits_for_its_model_at_the_version) {
  mixed_fleet fleet({"a", "b"});
  fleet.add_models("w0", {"m0"});
  fleet.send_reports();
  fleet.send_demand({bound_adapter_demand("x", "b")});
  EXPECT_EQ(fleet.loads_of("m0"), names{"w1"});
  EXPECT_EQ(fleet.adapters_at("w0"), names{});
  EXPECT_EQ(fleet.adapters_at("w1"), names{});
  fleet.now += milliseconds(1300);
  fleet.apply_targets();
  fleet.step();
  EXPECT_EQ(fleet.adapters_at("w0"), names{});
  EXPECT_EQ(fleet.adapters_at("w1"), names{"m0/x"});
}

TEST(residency_bound_test, an_adapter_goes_to_no_worker_that_leaves) {
  mixed_fleet fleet({"a", "b", "b", "b"});
  for (const char* worker : {"w0", "w1", "w2", "w3"}) {
    fleet.add_models(worker, {"m0"});
  }
  fleet.send_reports();
  fleet.set_draining("w1");
  fleet.send_unresponsive({"w2"}, {bound_adapter_demand("x", "b")}, {});
  fleet.step();
  for (const char* worker : {"w0", "w1", "w2"}) {
    EXPECT_EQ(fleet.adapters_at(worker), names{}) << worker;
  }
  EXPECT_EQ(fleet.adapters_at("w3"), names{"m0/x"});
}

}  // namespace
}  // namespace boragehill::decide
