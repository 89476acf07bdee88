#include "decide/residency_planner.hpp"

#include <gtest/gtest.h>
#include <set>

namespace boragehill::decide {
namespace {

/// A fleet of workers with memory for three models each, whose agents apply the
/// decisions of the planner at once.
class planned_fleet {
 public:
  static constexpr int store_loads = 4;

  explicit planned_fleet(int workers, int models) {
    fleet::service service{.name = "assist",
                           .has_engine = true,
                           .weights_mb = 230,
                           .adapter_places = 2,
                           .slots = 64};
    for (int each = 0; each < models; ++each) {
      service.models.push_back({.name = "m" + std::to_string(each),
                                .weights_mb = 70,
                                .adapter_mb = 1,
                                .store_load = milliseconds(6000),
                                .disk_load = milliseconds(1300),
                                .memory_load = milliseconds(600)});
    }
    auto catalog = std::make_shared<fleet::catalog>();
    catalog->services.push_back(service);
    this->planner.set_catalog(catalog);
    for (int each = 0; each < workers; ++each) {
      const std::string id = "w" + std::to_string(each);
      this->list.servers[id] = {.id = id, .service = "assist", .slots = 64};
      this->reports[id] = {.server = id};
    }
    this->planner.set_servers(this->list, this->now);
  }

  void hold(const std::string& worker, const std::vector<std::string>& models) {
    for (const auto& each : models) {
      this->reports[worker].models.push_back({each, {}});
    }
  }

  void copies_on_disk(const std::string& worker,
                      const std::vector<std::string>& models) {
    this->reports[worker].on_disk = models;
  }

  void report() {
    for (const auto& [id, report] : this->reports) {
      this->planner.on_report(id, report, this->now);
    }
  }

  void demand(std::vector<model_demand> demands,
              std::vector<model_in_flight> flights = {}) {
    this->planner.on_demand_report(
        "r1", {.demands = std::move(demands), .in_flight = std::move(flights)},
        this->now);
  }

  void demand_of(const std::string& router, std::vector<model_demand> demands,
                 std::vector<model_in_flight> flights) {
    this->planner.on_demand_report(
        router,
        {.demands = std::move(demands), .in_flight = std::move(flights)},
        this->now);
  }

  /// Router r1 reports some workers as unresponsive.
  void silent(const std::vector<std::string>& workers,
              std::vector<model_demand> demands,
              std::vector<model_in_flight> flights) {
    this->planner.on_demand_report("r1",
                                   {.demands = std::move(demands),
                                    .in_flight = std::move(flights),
                                    .unresponsive_servers = workers},
                                   this->now);
  }

  void step() { this->planner.step(this->now); }

  /// Updates the reports to match the targets.
  void carry_out() {
    for (const auto& [id, worker] : this->planner.workers()) {
      auto& report = this->reports[id];
      report.models.clear();
      for (const auto& name : worker.target.models) {
        report.models.push_back({name, {}});
      }
    }
    this->report();
  }

  std::set<std::string> workers_for(const std::string& model) const {
    std::set<std::string> found;
    for (const auto& [id, worker] : this->planner.workers()) {
      if (worker.has_target_model(model)) found.insert(id);
    }
    return found;
  }

  /// The store serves four loads at full speed, and the planner knows this from
  /// the start.
  residency_planner planner{
      planner_settings{.initial_store_loads = store_loads}};
  fleet::server_list list;
  std::map<std::string, fleet::worker_report> reports;
  time_point now{std::chrono::seconds(100)};
};

model_demand waiting(const std::string& model, int count = 1) {
  return {.service = "assist",
          .model = model,
          .arrivals = count,
          .waiting = count,
          .weight = static_cast<double>(count)};
}

TEST(residency_planner_test, wakes_a_model_where_its_copy_is_at_hand) {
  planned_fleet fleet(3, 8);
  fleet.copies_on_disk("w1", {"m5"});
  fleet.report();
  fleet.demand({waiting("m5")});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m5"), std::set<std::string>{"w1"});
  // The load is pending: no second worker is given the same load.
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m5").size(), 1U);
}

TEST(residency_planner_test, drops_what_the_fleet_misses_least) {
  // All workers are full. m0 is requested constantly and has one replica; m1 is
  // idle and has two. The rare model m6 evicts a replica of m1.
  planned_fleet fleet(2, 8);
  fleet.hold("w0", {"m0", "m1", "m2"});
  fleet.hold("w1", {"m1", "m3", "m4"});
  for (const char* worker : {"w0", "w1"}) {
    fleet.copies_on_disk(worker, {"m6"});
  }
  fleet.report();
  fleet.now += std::chrono::seconds(2);
  fleet.report();
  fleet.demand({{.service = "assist", .model = "m0", .arrivals = 50},
                {.service = "assist", .model = "m1", .arrivals = 1},
                {.service = "assist", .model = "m2", .arrivals = 2},
                {.service = "assist", .model = "m3", .arrivals = 2},
                {.service = "assist", .model = "m4", .arrivals = 2},
                waiting("m6")});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0").size(), 1U);
  EXPECT_EQ(fleet.workers_for("m1").size(), 1U);
  EXPECT_EQ(fleet.workers_for("m6").size(), 1U);
}

TEST(residency_planner_test, a_busy_model_gets_replicas_within_a_few_steps) {
  // Demand moves to a model with one replica. Its worker gets all requests, and
  // half of the responses are late until other workers have the model too.
  planned_fleet fleet(4, 8);
  fleet.hold("w0", {"m0"});
  for (int each = 0; each < 4; ++each) {
    fleet.copies_on_disk("w" + std::to_string(each), {"m0"});
  }
  fleet.report();
  for (int step = 0; step < 10; ++step) {
    const auto holders = fleet.workers_for("m0");
    std::vector<model_in_flight> flights;
    flights.reserve(holders.size());
    for (const auto& each : holders) {
      flights.push_back(
          {each, "m0", {}, 40 / static_cast<int>(holders.size())});
    }
    fleet.demand({}, flights);
    fleet.step();
    fleet.now += milliseconds(200);
    fleet.carry_out();
  }
  EXPECT_EQ(fleet.workers_for("m0").size(), 4U);
}

TEST(residency_planner_test, a_starved_model_gets_a_replica_from_the_store) {
  // Demand moves to a model with one replica and no copy on any other worker,
  // because the workers with copies were removed. Its only worker was full, and
  // three in four of its requests were rejected for the rest of the run.
  planned_fleet fleet(3, 12);
  fleet.hold("w0", {"m0", "m1", "m2"});
  fleet.hold("w1", {"m3", "m4", "m5"});
  fleet.hold("w2", {"m6", "m7", "m8"});
  fleet.report();
  auto asked = waiting("m0", 20);
  asked.oldest_wait = milliseconds(100);
  fleet.now += std::chrono::seconds(2);
  fleet.report();
  fleet.demand({asked}, {{"w0", "m0", {}, 40}});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0").size(), 1U);
  asked.oldest_wait = milliseconds(600);
  fleet.demand({asked}, {{"w0", "m0", {}, 40}});
  fleet.step();
  EXPECT_GT(fleet.workers_for("m0").size(), 1U);
}

TEST(residency_planner_test, the_store_serves_the_most_asked_first) {
  // A new planner starts after a restart of all processes. A rare model without
  // a copy is requested first; its load would occupy the store for 15 s when
  // the demand for the busy model becomes visible.
  planned_fleet fleet(8, 20);
  fleet.report();
  fleet.planner.start(fleet.now);
  fleet.report();
  std::vector<model_demand> asked;
  asked.reserve(7);
  for (int each = 0; each < 6; ++each) {
    asked.push_back(waiting("m" + std::to_string(each)));
  }
  fleet.demand(asked);
  fleet.step();
  EXPECT_TRUE(fleet.workers_for("m0").empty());
  asked.push_back(waiting("m9", 30));
  fleet.now += milliseconds(500);
  fleet.report();
  fleet.demand(asked);
  fleet.step();
  EXPECT_GE(fleet.workers_for("m9").size(), 1U);
  EXPECT_TRUE(fleet.workers_for("m0").empty());
  fleet.now += std::chrono::seconds(2);
  fleet.report();
  fleet.demand(asked);
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0").size(), 1U);
}

TEST(residency_planner_test, a_quiet_model_gets_no_further_replica) {
  planned_fleet fleet(4, 8);
  fleet.hold("w0", {"m0"});
  fleet.copies_on_disk("w1", {"m0"});
  fleet.report();
  fleet.demand({}, {{"w0", "m0", {}, 4}});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0").size(), 1U);
}

TEST(residency_planner_test, keeps_to_the_loads_that_the_store_serves_at_once) {
  // Many rare models without local copies are requested at once. More
  // concurrent loads than the store serves at full speed would slow all of them
  // down.
  planned_fleet fleet(12, 20);
  fleet.report();
  std::vector<model_demand> storm;
  storm.reserve(20);
  for (int each = 0; each < 20; ++each) {
    storm.push_back(waiting("m" + std::to_string(each)));
  }
  fleet.demand(storm);
  fleet.step();
  int loads = 0;
  for (const auto& [id, worker] : fleet.planner.workers()) {
    if (worker.pending_load) ++loads;
  }
  EXPECT_EQ(loads, planned_fleet::store_loads);
}

TEST(residency_planner_test, wakes_elsewhere_when_a_worker_falls_silent) {
  // The only worker with the model becomes unreachable. The reports of its
  // agent no longer count, and the model is loaded on a reachable worker.
  planned_fleet fleet(2, 8);
  fleet.hold("w0", {"m0"});
  fleet.copies_on_disk("w1", {"m0"});
  fleet.report();
  fleet.planner.on_worker_unreachable("w0");
  fleet.demand({waiting("m0")});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0"), std::set<std::string>{"w1"});
}

TEST(residency_planner_test, two_wakes_at_once_leave_a_busy_model_one_replica) {
  // A busy model has two replicas and is the cheapest to evict on both workers.
  // Two rare models are requested at once: if each evicts one replica, all
  // callers of the busy model wait.
  planned_fleet fleet(2, 8);
  fleet.hold("w0", {"m0", "m1", "m2"});
  fleet.hold("w1", {"m0", "m3", "m4"});
  for (const char* worker : {"w0", "w1"}) {
    fleet.copies_on_disk(worker, {"m6", "m7"});
  }
  fleet.report();
  fleet.now += milliseconds(1200);
  fleet.report();
  std::vector<model_demand> demands{
      {.service = "assist", .model = "m0", .arrivals = 40}};
  for (const char* rare : {"m1", "m2", "m3", "m4"}) {
    demands.push_back({.service = "assist", .model = rare, .arrivals = 6});
  }
  demands.push_back(waiting("m6"));
  demands.push_back(waiting("m7"));
  fleet.demand(demands);
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m6").size(), 1U);
  EXPECT_EQ(fleet.workers_for("m7").size(), 1U);
  EXPECT_EQ(fleet.workers_for("m0").size(), 1U);
}

TEST(residency_planner_test, waits_for_a_disk_copy_rather_than_the_store) {
  // All workers with a copy on disk are loading for another second. A load from
  // the store that starts now would finish 5 s later than the load from disk.
  planned_fleet fleet(2, 8);
  fleet.copies_on_disk("w0", {"m0", "m1"});
  fleet.report();
  fleet.demand({waiting("m1")});
  fleet.step();
  ASSERT_EQ(fleet.workers_for("m1"), std::set<std::string>{"w0"});
  fleet.demand({waiting("m0")});
  fleet.step();
  EXPECT_TRUE(fleet.workers_for("m0").empty());
  fleet.carry_out();
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0"), std::set<std::string>{"w0"});
}

TEST(residency_planner_test, does_not_queue_for_ever_at_the_last_disk_copies) {
  // A release replaces most workers by empty ones. All disk copies are on the
  // one worker that is left, and it is loading. Waiting for it looked best for
  // each model on its own, and drafts came 20 s late while other workers were
  // idle.
  planned_fleet fleet(4, 12);
  std::vector<std::string> all;
  all.reserve(12);
  for (int each = 0; each < 12; ++each)
    all.push_back("m" + std::to_string(each));
  fleet.copies_on_disk("w0", all);
  fleet.report();
  std::vector<model_demand> storm;
  storm.reserve(all.size());
  for (const auto& each : all) storm.push_back(waiting(each));
  fleet.demand(storm);
  fleet.step();
  int from_store = 0;
  for (const auto& [id, worker] : fleet.planner.workers()) {
    if (worker.pending_load && worker.pending_load->from_store) ++from_store;
  }
  EXPECT_EQ(from_store, 3);
  EXPECT_FALSE(fleet.planner.workers().at("w0").pending_load->from_store);
}

TEST(residency_planner_test, loads_one_by_one_from_a_store_that_serves_one) {
  // Nearly all workers are replaced by empty ones, and the store serves one
  // load at full speed. The first loads are slow; from then on models are
  // loaded one at a time, and callers of the others learn when theirs will be
  // ready.
  planned_fleet fleet(6, 12);
  fleet.report();
  std::vector<model_demand> storm;
  storm.reserve(6);
  for (int each = 0; each < 6; ++each) {
    storm.push_back(waiting("m" + std::to_string(each), 6 - each));
  }
  const auto pass = [&fleet, &storm](milliseconds time) {
    for (milliseconds left = time; left.count() > 0;
         left -= milliseconds(100)) {
      fleet.now += milliseconds(100);
      fleet.report();
      fleet.demand(storm);
      fleet.step();
    }
  };
  fleet.demand(storm);
  fleet.step();
  for (const auto& [id, worker] : fleet.planner.workers()) {
    if (worker.pending_load) fleet.reports[id].busy = true;
  }
  // Four loads on a store that serves one: after the nominal 6 s the planner
  // detects it.
  pass(milliseconds(6500));
  const auto& expected = fleet.planner.expected_ready_times();
  ASSERT_TRUE(expected.contains("m0"));
  ASSERT_TRUE(expected.contains("m5"));
  EXPECT_GT(expected.at("m0"), fleet.now + milliseconds(5000));
  EXPECT_GE(expected.at("m5"), expected.at("m0") + milliseconds(6000));
  pass(milliseconds(18500));
  for (auto& [id, report] : fleet.reports) report.busy = false;
  fleet.carry_out();
  fleet.step();
  int from_store = 0;
  for (const auto& [id, worker] : fleet.planner.workers()) {
    if (worker.pending_load && worker.pending_load->from_store) ++from_store;
  }
  EXPECT_EQ(from_store, 1);
}

TEST(residency_planner_test, a_load_that_ends_a_moment_late_is_still_expected) {
  // A model without a copy is loaded from the store, and its caller waits up to
  // 9 s. When the load was due it counted as overdue and was assumed to need as
  // long again, so the caller was rejected; the model was ready 10 ms later.
  planned_fleet fleet(1, 2);
  fleet.report();
  fleet.demand({waiting("m0")});
  fleet.step();
  fleet.now += milliseconds(700);
  fleet.report();
  fleet.demand({waiting("m0")});
  fleet.step();
  ASSERT_TRUE(fleet.planner.workers().at("w0").pending_load);
  fleet.reports["w0"].busy = true;
  for (int tenths = 0; tenths < 62; ++tenths) {
    fleet.report();
    fleet.demand({waiting("m0")});
    fleet.step();
    const auto& expected = fleet.planner.expected_ready_times();
    ASSERT_TRUE(expected.contains("m0"));
    EXPECT_LE(expected.at("m0"), fleet.now + milliseconds(6300 - 100 * tenths))
        << tenths;
    fleet.now += milliseconds(100);
  }
}

TEST(residency_planner_test, uses_new_workers_that_have_no_copies) {
  // A release replaces a worker by an empty one. The old workers are full and
  // load one requested model after the other from disk; the new one is never
  // the soonest for any of them and stayed idle for the rest of the run.
  planned_fleet fleet(2, 8);
  fleet.hold("w0", {"m0", "m1", "m2"});
  fleet.copies_on_disk("w0", {"m0", "m1", "m2", "m3", "m4"});
  fleet.report();
  fleet.demand({{.service = "assist", .model = "m3", .arrivals = 2},
                {.service = "assist", .model = "m4", .arrivals = 1}});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m3"), std::set<std::string>{"w1"});
}

TEST(residency_planner_test, fills_a_crashed_worker_from_its_disk) {
  // A worker restarts after a crash with no model loaded and all copies on
  // disk. The busy model it held is loaded before its callers queue at the
  // remaining replica.
  planned_fleet fleet(2, 8);
  fleet.hold("w0", {"m0", "m1", "m2"});
  fleet.copies_on_disk("w1", {"m0", "m3", "m4"});
  fleet.report();
  fleet.demand({{.service = "assist", .model = "m3", .arrivals = 3}});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m3"), std::set<std::string>{"w1"});
}

TEST(residency_planner_test, leaves_places_free_for_what_nobody_asks_for) {
  // Every model has a local copy, so its first request waits for a disk only.
  planned_fleet fleet(2, 8);
  fleet.copies_on_disk("w0", {"m1", "m2", "m5", "m6", "m7"});
  fleet.copies_on_disk("w1", {"m0", "m3", "m4"});
  fleet.report();
  fleet.demand({});
  fleet.step();
  for (const auto& [id, worker] : fleet.planner.workers()) {
    EXPECT_FALSE(worker.pending_load) << id;
  }
}

TEST(residency_planner_test, a_new_planner_waits_for_reports_before_the_store) {
  // All machines restart after a power loss. The first agent to report has no
  // copy of the busy model, the next one, 80 ms later, has one. A load from the
  // store that started in between delayed its callers by 6 s.
  planned_fleet fleet(2, 8);
  fleet.copies_on_disk("w1", {"m0"});
  fleet.planner.start(fleet.now);
  fleet.planner.on_report("w0", fleet.reports["w0"], fleet.now);
  fleet.demand({waiting("m0")});
  fleet.step();
  EXPECT_TRUE(fleet.workers_for("m0").empty());
  fleet.now += milliseconds(80);
  fleet.planner.on_report("w1", fleet.reports["w1"], fleet.now);
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0"), std::set<std::string>{"w1"});
}

TEST(residency_planner_test, expects_nothing_of_a_model_that_is_there) {
  // A busy model is scaled out. Callers that waited briefly for an adapter of
  // it were told that no worker would have the model in time.
  planned_fleet fleet(3, 8);
  fleet.hold("w0", {"m0"});
  fleet.copies_on_disk("w1", {"m0"});
  fleet.copies_on_disk("w2", {"m1"});
  fleet.report();
  fleet.demand({waiting("m1")}, {{"w0", "m0", {}, 40}});
  fleet.step();
  ASSERT_EQ(fleet.workers_for("m0").size(), 2U);
  fleet.step();
  EXPECT_FALSE(fleet.planner.expected_ready_times().contains("m0"));
  EXPECT_TRUE(fleet.planner.expected_ready_times().contains("m1"));
}

TEST(residency_planner_test, a_new_planner_does_not_wait_for_ever) {
  planned_fleet fleet(2, 8);
  fleet.planner.start(fleet.now);
  fleet.planner.on_report("w0", fleet.reports["w0"], fleet.now);
  fleet.now += std::chrono::seconds(1);
  fleet.planner.on_report("w0", fleet.reports["w0"], fleet.now);
  fleet.demand({waiting("m0")});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0"), std::set<std::string>{"w0"});
}

TEST(residency_planner_test, a_crashed_workers_replica_does_not_count) {
  // Two workers hold a busy model and one of them crashes. The platform lists
  // it for several seconds more; if it counted as a replica, the last live
  // replica could be evicted for a rare model, and all requests of the busy
  // model would wait.
  planned_fleet fleet(3, 8);
  fleet.hold("w0", {"m0", "m1", "m2"});
  fleet.hold("w1", {"m0"});
  fleet.hold("w2", {"m3", "m4", "m5"});
  for (const char* worker : {"w0", "w2"}) fleet.copies_on_disk(worker, {"m6"});
  fleet.report();
  fleet.now += std::chrono::seconds(2);
  fleet.planner.on_report("w0", fleet.reports["w0"], fleet.now);
  fleet.planner.on_report("w2", fleet.reports["w2"], fleet.now);
  fleet.demand(
      {{.service = "assist", .model = "m0", .arrivals = 20}, waiting("m6")});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0").count("w0"), 1U);
  EXPECT_EQ(fleet.workers_for("m6").size(), 1U);
}

TEST(residency_planner_test, leaves_a_leaving_worker_alone) {
  planned_fleet fleet(2, 8);
  fleet.copies_on_disk("w0", {"m0"});
  fleet.list.servers["w0"].draining = true;
  fleet.planner.set_servers(fleet.list, fleet.now);
  fleet.report();
  fleet.demand({waiting("m0")});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0"), std::set<std::string>{"w1"});
}

TEST(residency_planner_test, wakes_elsewhere_what_a_leaving_worker_holds) {
  // The only worker with the model reports that it is draining, but the server
  // list does not say so.
  planned_fleet fleet(2, 8);
  fleet.hold("w0", {"m0"});
  fleet.reports["w0"].leaving = true;
  fleet.report();
  fleet.demand({waiting("m0")});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m0").count("w1"), 1U);
}

TEST(residency_planner_test, gives_an_adapter_the_place_of_the_oldest_idle) {
  planned_fleet fleet(1, 2);
  fleet.hold("w0", {"m0"});
  fleet.reports["w0"].models[0].adapters = {"a1", "a2"};
  fleet.report();
  fleet.demand(
      {{.service = "assist", .model = "m0", .adapter = "a1", .arrivals = 1}});
  fleet.now += milliseconds(100);
  auto asked = waiting("m0");
  asked.adapter = "a3";
  fleet.demand({asked});
  fleet.step();
  const auto& adapters = fleet.planner.workers().at("w0").target.adapters;
  EXPECT_EQ(std::set<std::string>(adapters.begin(), adapters.end()),
            (std::set<std::string>{"m0/a1", "m0/a3"}));
}

TEST(residency_planner_test, what_a_silent_worker_had_is_woken_elsewhere) {
  // The machine of a worker stalls while the last report of its agent is still
  // valid. Its callers waited for their full 2 s timeout, although another
  // worker had the model on disk.
  planned_fleet fleet(2, 4);
  fleet.hold("w0", {"m0"});
  fleet.hold("w1", {"m1", "m2", "m3"});
  fleet.copies_on_disk("w1", {"m0"});
  fleet.report();
  fleet.demand({{.service = "assist", .model = "m0", .arrivals = 3}},
               {{.server = "w0", .model = "m0", .requests = 3}});
  fleet.step();
  EXPECT_FALSE(fleet.workers_for("m0").contains("w1"));
  fleet.silent({"w0"}, {{.service = "assist", .model = "m0", .waiting = 3}},
               {{.server = "w0", .model = "m0", .requests = 3}});
  fleet.step();
  EXPECT_TRUE(fleet.workers_for("m0").contains("w1"));
}

TEST(residency_planner_test, a_worker_that_another_router_hears_is_not_silent) {
  // Only the connection of one router to the worker is broken.
  planned_fleet fleet(2, 4);
  fleet.hold("w0", {"m0"});
  fleet.hold("w1", {"m1", "m2", "m3"});
  fleet.copies_on_disk("w1", {"m0"});
  fleet.report();
  fleet.demand_of("r2", {{.service = "assist", .model = "m0", .arrivals = 3}},
                  {{.server = "w0", .model = "m0", .requests = 1}});
  fleet.silent({"w0"}, {{.service = "assist", .model = "m0", .waiting = 2}},
               {{.server = "w0", .model = "m0", .requests = 1}});
  fleet.step();
  EXPECT_FALSE(fleet.workers_for("m0").contains("w1"));
}

TEST(residency_planner_test,
     brings_models_without_a_copy_before_they_are_asked) {
  // Half of the models fit on the workers at the start. The first request for
  // each of the others waited 6 s for the store, though the store and most
  // workers had been idle for half a minute.
  planned_fleet fleet(3, 12);
  fleet.hold("w0", {"m0", "m1", "m2"});
  fleet.hold("w1", {"m3", "m4", "m5"});
  fleet.hold("w2", {"m6", "m7", "m8"});
  fleet.report();
  fleet.now += milliseconds(700);
  fleet.report();
  fleet.demand({{.service = "assist", .model = "m10", .arrivals = 1}},
               {{.server = "w0", .model = "m0", .requests = 2},
                {.server = "w0", .model = "m1", .requests = 2},
                {.server = "w0", .model = "m2", .requests = 2}});
  fleet.step();
  // The requested model comes first; models in use are not evicted.
  EXPECT_EQ(fleet.workers_for("m10").size(), 1);
  EXPECT_FALSE(fleet.workers_for("m10").contains("w0"));
}

TEST(residency_planner_test,
     brings_nothing_ahead_while_the_store_is_waited_for) {
  planned_fleet fleet(3, 12);
  fleet.hold("w0", {"m0", "m1", "m2"});
  fleet.hold("w1", {"m3", "m4", "m5"});
  fleet.hold("w2", {"m6", "m7", "m8"});
  fleet.report();
  fleet.now += milliseconds(1100);
  fleet.report();
  fleet.demand({waiting("m9", 7), waiting("m10", 7)});
  fleet.step();
  EXPECT_EQ(fleet.workers_for("m9").size(), 1);
  EXPECT_EQ(fleet.workers_for("m10").size(), 1);
  EXPECT_TRUE(fleet.workers_for("m11").empty());
}

TEST(residency_planner_test, brings_models_ahead_with_all_places_of_the_store) {
  // With one store slot kept free, five models were loaded in the first 50 s of
  // a run, and the others were requested before their turn.
  planned_fleet fleet(6, 30);
  for (int worker = 0; worker < 6; ++worker) {
    const auto model = [worker](int place) {
      return "m" + std::to_string(3 * worker + place);
    };
    fleet.hold("w" + std::to_string(worker), {model(0), model(1), model(2)});
  }
  fleet.report();
  fleet.now += milliseconds(700);
  fleet.report();
  for (int step = 0; step < 10; ++step) fleet.step();
  int from_store = 0;
  for (const auto& [id, worker] : fleet.planner.workers()) {
    if (worker.is_loading_from_store()) ++from_store;
  }
  EXPECT_EQ(from_store, planned_fleet::store_loads);
}

}  // namespace
}  // namespace boragehill::decide
