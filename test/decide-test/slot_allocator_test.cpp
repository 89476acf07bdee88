#include "decide/slot_allocator.hpp"

#include <gtest/gtest.h>
#include <string>

namespace boragehill::decide {
namespace {

/// Workers with one model each and the routers whose requests wait for it.
class waiting_fleet {
 public:
  explicit waiting_fleet(const slot_allocator_settings& settings = {})
      : allocator(settings) {}

  void add_worker(const std::string& id, int in_flight,
                  const std::string& model = "m0") {
    auto& worker = this->workers[id];
    worker.list_entry = {.id = id, .service = "assist", .slots = 16};
    worker.report = fleet::worker_report{.server = id, .models = {{model, {}}}};
    worker.target.models = {model};
    worker.total_in_flight = in_flight;
  }

  void wait_at(const std::string& router, int count, int late = 0,
               milliseconds oldest = milliseconds(100)) {
    this->reports[router].demands = {{.service = "assist",
                                      .model = "m0",
                                      .waiting = count,
                                      .late = late,
                                      .oldest_wait = oldest}};
    this->report_of(router);
  }

  void report_of(const std::string& router) {
    this->allocator.on_report(router, this->reports[router]);
  }

  /// The router reports after it received the last round.
  void confirm(const std::string& router) {
    this->reports[router].last_grant_round = this->allocator.round();
    this->report_of(router);
  }

  slot_allocator::grant_map grant() {
    return this->allocator.grant(
        this->workers, [](const planned_worker&) { return true; }, this->now);
  }

  slot_allocator allocator;
  std::map<std::string, planned_worker> workers;
  std::map<std::string, demand_report> reports;
  time_point now{std::chrono::seconds(100)};
};

int count_slots(const slot_allocator::grant_map& grants) {
  int slots = 0;
  for (const auto& [router, list] : grants) {
    for (const auto& each : list) slots += each.count;
  }
  return slots;
}

int count_slots_at(const slot_allocator::grant_map& grants,
                   const std::string& server) {
  int slots = 0;
  for (const auto& [router, list] : grants) {
    for (const auto& each : list) {
      if (each.server == server) slots += each.count;
    }
  }
  return slots;
}

TEST(slot_allocator_test, grants_a_free_slot_to_one_of_many_routers) {
  // A hundred routers with a waiting request each saw one slot become free, and
  // all of them sent theirs to that worker.
  waiting_fleet fleet;
  fleet.add_worker("w0", 19);
  fleet.add_worker("w1", 20);
  for (int router = 0; router < 100; ++router) {
    fleet.wait_at("r" + std::to_string(router), 1);
  }
  const auto grants = fleet.grant();
  EXPECT_EQ(count_slots(grants), 1);
  EXPECT_EQ(count_slots_at(grants, "w0"), 1);
  EXPECT_EQ(count_slots(fleet.grant()), 0);
}

TEST(slot_allocator_test, fills_a_new_replica_no_faster_than_it_reads_prompts) {
  waiting_fleet fleet;
  fleet.add_worker("w0", 0);
  for (int router = 0; router < 50; ++router) {
    fleet.wait_at("r" + std::to_string(router), 1);
  }
  EXPECT_EQ(count_slots(fleet.grant()), 4);
  EXPECT_EQ(count_slots(fleet.grant()), 0);
}

TEST(slot_allocator_test, spreads_grants_over_the_replicas) {
  waiting_fleet fleet;
  fleet.add_worker("w0", 8);
  fleet.add_worker("w1", 8);
  fleet.add_worker("w2", 16);
  fleet.add_worker("w3", 0, "m1");
  fleet.wait_at("r0", 4);
  const auto grants = fleet.grant();
  EXPECT_EQ(count_slots_at(grants, "w0"), 2);
  EXPECT_EQ(count_slots_at(grants, "w1"), 2);
}

TEST(slot_allocator_test, grants_to_requests_in_time_before_late_ones) {
  waiting_fleet fleet;
  fleet.add_worker("w0", 15);
  fleet.wait_at("r0", 1, 1, milliseconds(900));
  fleet.wait_at("r1", 1, 0, milliseconds(50));
  const auto grants = fleet.grant();
  EXPECT_TRUE(grants.contains("r1"));
  // The slot that is left isn't free any more.
  EXPECT_FALSE(grants.contains("r0"));
}

TEST(slot_allocator_test, late_requests_get_no_place_in_the_queue) {
  waiting_fleet fleet;
  fleet.add_worker("w0", 16);
  fleet.wait_at("r0", 1, 1);
  EXPECT_EQ(count_slots(fleet.grant()), 0);
  fleet.workers["w0"].total_in_flight = 15;
  EXPECT_EQ(count_slots(fleet.grant()), 1);
}

TEST(slot_allocator_test, a_slot_is_granted_again_once_its_use_is_confirmed) {
  waiting_fleet fleet({.max_unconfirmed = 1});
  fleet.add_worker("w0", 0);
  fleet.wait_at("r0", 3);
  EXPECT_EQ(count_slots(fleet.grant()), 1);
  // A report that was sent before the grant arrived confirms nothing.
  fleet.report_of("r0");
  EXPECT_EQ(count_slots(fleet.grant()), 0);
  EXPECT_EQ(fleet.allocator.unconfirmed().at("w0"), 1);
  EXPECT_EQ(fleet.allocator.unconfirmed_of("w0", "r0"), 1);
  EXPECT_EQ(fleet.allocator.unconfirmed_of("w0", "r1"), 0);
  fleet.confirm("r0");
  EXPECT_EQ(fleet.allocator.unconfirmed_of("w0", "r0"), 0);
  EXPECT_EQ(count_slots(fleet.grant()), 1);
}

TEST(slot_allocator_test, grants_again_what_a_lost_router_does_not_use) {
  waiting_fleet fleet({.max_unconfirmed = 1});
  fleet.add_worker("w0", 0);
  fleet.wait_at("r0", 1);
  fleet.wait_at("r1", 1, 0, milliseconds(50));
  EXPECT_TRUE(fleet.grant().contains("r0"));
  fleet.allocator.on_router_removed("r0");
  EXPECT_TRUE(fleet.grant().contains("r1"));
  // A paused router keeps its grant only for a time.
  fleet.wait_at("r0", 1);
  EXPECT_EQ(count_slots(fleet.grant()), 0);
  fleet.now += milliseconds(600);
  EXPECT_TRUE(fleet.grant().contains("r0"));
}

TEST(slot_allocator_test, grants_nothing_at_a_worker_that_seems_lost) {
  // A crashed worker had no requests any more, so it got all grants for as long
  // as its last report counted, and each of them cost a retry.
  waiting_fleet fleet;
  fleet.add_worker("w0", 0);
  fleet.add_worker("w1", 9);
  fleet.reports["r1"].unreachable_servers = {"w0"};
  fleet.report_of("r1");
  fleet.wait_at("r0", 1);
  EXPECT_EQ(count_slots_at(fleet.grant(), "w1"), 1);
  // With a request there it is only the router r1 that doesn't reach it.
  fleet.workers["w0"].total_in_flight = 1;
  fleet.wait_at("r0", 2);
  fleet.wait_at("r1", 1);
  const auto grants = fleet.grant();
  EXPECT_EQ(grants.at("r0").front().server, "w0");
  EXPECT_EQ(grants.at("r1").front().server, "w1");
}

TEST(slot_allocator_test, grants_nothing_at_workers_without_the_adapter) {
  waiting_fleet fleet;
  fleet.add_worker("w0", 0);
  fleet.reports["r0"].demands = {
      {.service = "assist", .model = "m0", .adapter = "a1", .waiting = 1}};
  fleet.report_of("r0");
  EXPECT_EQ(count_slots(fleet.grant()), 0);
  fleet.workers["w0"].report->models[0].adapters = {"a1"};
  const auto grants = fleet.grant();
  ASSERT_TRUE(grants.contains("r0"));
  EXPECT_EQ(grants.at("r0").front().adapter, "a1");
}

// Guards against grants at workers of other versions, which the router can't
// use and others then lack.
TEST(slot_allocator_test, grants_nothing_to_requests_bound_to_a_version) {
  waiting_fleet fleet;
  fleet.add_worker("w0", 0);
  const model_demand bound{
      .service = "assist", .model = "m0", .software = "b", .waiting = 3};
  fleet.reports["r0"].demands = {bound};
  fleet.report_of("r0");
  fleet.report_of("r0");
  EXPECT_EQ(count_slots(fleet.grant()), 0);
  EXPECT_TRUE(fleet.allocator.unconfirmed().empty());
  // Others at the same router get theirs.
  model_demand unbound = bound;
  unbound.software.clear();
  unbound.waiting = 2;
  fleet.reports["r0"].demands = {bound, unbound};
  fleet.report_of("r0");
  EXPECT_EQ(count_slots(fleet.grant()), 2);
  EXPECT_EQ(count_slots(fleet.grant()), 0);
}

TEST(slot_allocator_test, grants_nothing_more_once_the_requests_are_bound) {
  waiting_fleet fleet;
  fleet.add_worker("w0", 0);
  fleet.wait_at("r0", 2);
  EXPECT_EQ(count_slots(fleet.grant()), 2);
  // Crosses the grant, which stays unconfirmed.
  fleet.reports["r0"].demands[0].software = "b";
  fleet.report_of("r0");
  EXPECT_EQ(count_slots(fleet.grant()), 0);
  EXPECT_EQ(fleet.allocator.unconfirmed_of("w0", "r0"), 2);
  fleet.confirm("r0");
  EXPECT_EQ(count_slots(fleet.grant()), 0);
  EXPECT_EQ(fleet.allocator.unconfirmed_of("w0", "r0"), 0);
}

}  // namespace
}  // namespace boragehill::decide
