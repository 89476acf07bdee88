#include "decide/residency_planner.hpp"

#include <gtest/gtest.h>
#include <set>

#include "simulated_fleet.hpp"

namespace boragehill::decide {
namespace {

TEST(residency_planner_test, loads_a_model_on_the_worker_with_a_disk_copy) {
  simulated_fleet fleet(3, 8);
  fleet.set_disk_copies("w1", {"m5"});
  fleet.send_reports();
  fleet.send_demand({waiting_demand("m5")});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m5"), std::set<std::string>{"w1"});
  // The load is pending: no second worker is given the same load.
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m5").size(), 1U);
}

TEST(residency_planner_test, evicts_the_model_with_the_lowest_cost) {
  // All workers are full. m0 is requested constantly and has one replica; m1 is
  // idle and has two. The rare model m6 evicts a replica of m1.
  simulated_fleet fleet(2, 8);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m1", "m3", "m4"});
  for (const char* worker : {"w0", "w1"}) {
    fleet.set_disk_copies(worker, {"m6"});
  }
  fleet.send_reports();
  fleet.now += std::chrono::seconds(2);
  fleet.send_reports();
  fleet.send_demand({{.service = "assist", .model = "m0", .arrivals = 50},
                     {.service = "assist", .model = "m1", .arrivals = 1},
                     {.service = "assist", .model = "m2", .arrivals = 2},
                     {.service = "assist", .model = "m3", .arrivals = 2},
                     {.service = "assist", .model = "m4", .arrivals = 2},
                     waiting_demand("m6")});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 1U);
  EXPECT_EQ(fleet.workers_with_target("m1").size(), 1U);
  EXPECT_EQ(fleet.workers_with_target("m6").size(), 1U);
}

TEST(residency_planner_test, scales_out_a_busy_model_within_ten_steps) {
  // Demand moves to a model with one replica. Its worker gets all requests, and
  // half of the responses are late until other workers have the model too.
  simulated_fleet fleet(4, 8);
  fleet.add_models("w0", {"m0"});
  for (int worker = 0; worker < 4; ++worker) {
    fleet.set_disk_copies("w" + std::to_string(worker), {"m0"});
  }
  fleet.send_reports();
  for (int step = 0; step < 10; ++step) {
    const auto workers = fleet.workers_with_target("m0");
    std::vector<model_in_flight> in_flight;
    in_flight.reserve(workers.size());
    for (const auto& worker : workers) {
      in_flight.push_back(
          {worker, "m0", {}, 40 / static_cast<int>(workers.size())});
    }
    fleet.send_demand({}, in_flight);
    fleet.step();
    fleet.now += milliseconds(200);
    fleet.apply_targets();
  }
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 4U);
}

TEST(residency_planner_test, loads_a_starved_model_from_the_store) {
  // Demand moves to a model with one replica and no copy on any other worker,
  // because the workers with copies were removed. Its only worker was full, and
  // three in four of its requests were rejected for the rest of the run.
  simulated_fleet fleet(3, 12);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m3", "m4", "m5"});
  fleet.add_models("w2", {"m6", "m7", "m8"});
  fleet.send_reports();
  auto demand = waiting_demand("m0", 20);
  demand.oldest_wait = milliseconds(100);
  fleet.now += std::chrono::seconds(2);
  fleet.send_reports();
  fleet.send_demand({demand}, {{"w0", "m0", {}, 40}});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 1U);
  demand.oldest_wait = milliseconds(600);
  fleet.send_demand({demand}, {{"w0", "m0", {}, 40}});
  fleet.step();
  EXPECT_GT(fleet.workers_with_target("m0").size(), 1U);
}

TEST(residency_planner_test,
     loads_the_most_requested_model_from_the_store_first) {
  // A new planner starts after a restart of all processes. A rare model without
  // a copy is requested first; its load would occupy the store for 15 s when
  // the demand for the busy model becomes visible.
  simulated_fleet fleet(8, 20);
  fleet.send_reports();
  fleet.planner.start(fleet.now);
  fleet.send_reports();
  std::vector<model_demand> demands;
  demands.reserve(7);
  for (int index = 0; index < 6; ++index) {
    demands.push_back(waiting_demand("m" + std::to_string(index)));
  }
  fleet.send_demand(demands);
  fleet.step();
  EXPECT_TRUE(fleet.workers_with_target("m0").empty());
  demands.push_back(waiting_demand("m9", 30));
  fleet.now += milliseconds(500);
  fleet.send_reports();
  fleet.send_demand(demands);
  fleet.step();
  EXPECT_GE(fleet.workers_with_target("m9").size(), 1U);
  EXPECT_TRUE(fleet.workers_with_target("m0").empty());
  fleet.now += std::chrono::seconds(2);
  fleet.send_reports();
  fleet.send_demand(demands);
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 1U);
}

TEST(residency_planner_test, does_not_scale_out_a_model_with_few_requests) {
  simulated_fleet fleet(4, 8);
  fleet.add_models("w0", {"m0"});
  fleet.set_disk_copies("w1", {"m0"});
  fleet.send_reports();
  fleet.send_demand({}, {{"w0", "m0", {}, 4}});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 1U);
}

TEST(residency_planner_test, keeps_within_the_store_concurrency_limit) {
  // Many rare models without local copies are requested at once. More
  // concurrent loads than the store serves at full speed would slow all of them
  // down.
  simulated_fleet fleet(12, 20);
  fleet.send_reports();
  std::vector<model_demand> demands;
  demands.reserve(20);
  for (int index = 0; index < 20; ++index) {
    demands.push_back(waiting_demand("m" + std::to_string(index)));
  }
  fleet.send_demand(demands);
  fleet.step();
  int loads = 0;
  for (const auto& [id, worker] : fleet.planner.workers()) {
    if (worker.pending_load) ++loads;
  }
  EXPECT_EQ(loads, simulated_fleet::store_capacity);
}

TEST(residency_planner_test, loads_elsewhere_when_a_worker_is_unreachable) {
  // The only worker with the model becomes unreachable. The reports of its
  // agent no longer count, and the model is loaded on a reachable worker.
  simulated_fleet fleet(2, 8);
  fleet.add_models("w0", {"m0"});
  fleet.set_disk_copies("w1", {"m0"});
  fleet.send_reports();
  fleet.planner.on_worker_unreachable("w0");
  fleet.send_demand({waiting_demand("m0")});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0"), std::set<std::string>{"w1"});
}

TEST(residency_planner_test,
     two_loads_in_one_step_leave_a_busy_model_one_replica) {
  // A busy model has two replicas and is the cheapest to evict on both workers.
  // Two rare models are requested at once: if each evicts one replica, all
  // callers of the busy model wait.
  simulated_fleet fleet(2, 8);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m0", "m3", "m4"});
  for (const char* worker : {"w0", "w1"}) {
    fleet.set_disk_copies(worker, {"m6", "m7"});
  }
  fleet.send_reports();
  fleet.now += milliseconds(1200);
  fleet.send_reports();
  std::vector<model_demand> demands{
      {.service = "assist", .model = "m0", .arrivals = 40}};
  for (const char* rare : {"m1", "m2", "m3", "m4"}) {
    demands.push_back({.service = "assist", .model = rare, .arrivals = 6});
  }
  demands.push_back(waiting_demand("m6"));
  demands.push_back(waiting_demand("m7"));
  fleet.send_demand(demands);
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m6").size(), 1U);
  EXPECT_EQ(fleet.workers_with_target("m7").size(), 1U);
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 1U);
}

TEST(residency_planner_test, waits_for_a_disk_copy_when_the_store_is_slower) {
  // All workers with a copy on disk are loading for another second. A load from
  // the store that starts now would finish 5 s later than the load from disk.
  simulated_fleet fleet(2, 8);
  fleet.set_disk_copies("w0", {"m0", "m1"});
  fleet.send_reports();
  fleet.send_demand({waiting_demand("m1")});
  fleet.step();
  ASSERT_EQ(fleet.workers_with_target("m1"), std::set<std::string>{"w0"});
  fleet.send_demand({waiting_demand("m0")});
  fleet.step();
  EXPECT_TRUE(fleet.workers_with_target("m0").empty());
  fleet.apply_targets();
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0"), std::set<std::string>{"w0"});
}

TEST(residency_planner_test,
     uses_the_store_when_the_queue_for_disk_copies_is_long) {
  // A release replaces most workers by empty ones. All disk copies are on the
  // one worker that is left, and it is loading. Waiting for it looked best for
  // each model on its own, and responses came 20 s late while other workers
  // were idle.
  simulated_fleet fleet(4, 12);
  std::vector<std::string> models;
  models.reserve(12);
  for (int index = 0; index < 12; ++index)
    models.push_back("m" + std::to_string(index));
  fleet.set_disk_copies("w0", models);
  fleet.send_reports();
  std::vector<model_demand> demands;
  demands.reserve(models.size());
  for (const auto& name : models) demands.push_back(waiting_demand(name));
  fleet.send_demand(demands);
  fleet.step();
  int from_store = 0;
  for (const auto& [id, worker] : fleet.planner.workers()) {
    if (worker.pending_load && worker.pending_load->from_store) ++from_store;
  }
  EXPECT_EQ(from_store, 3);
  EXPECT_FALSE(fleet.planner.workers().at("w0").pending_load->from_store);
}

TEST(residency_planner_test, loads_one_at_a_time_from_a_store_that_serves_one) {
  // Nearly all workers are replaced by empty ones, and the store serves one
  // load at full speed. The first loads are slow; from then on models are
  // loaded one at a time, and callers of the others learn when theirs will be
  // ready.
  simulated_fleet fleet(6, 12);
  fleet.send_reports();
  std::vector<model_demand> demands;
  demands.reserve(6);
  for (int index = 0; index < 6; ++index) {
    demands.push_back(waiting_demand("m" + std::to_string(index), 6 - index));
  }
  const auto run_for = [&fleet, &demands](milliseconds time) {
    for (milliseconds left = time; left.count() > 0;
         left -= milliseconds(100)) {
      fleet.now += milliseconds(100);
      fleet.send_reports();
      fleet.send_demand(demands);
      fleet.step();
    }
  };
  fleet.send_demand(demands);
  fleet.step();
  for (const auto& [id, worker] : fleet.planner.workers()) {
    if (worker.pending_load) fleet.reports[id].busy = true;
  }
  // Four loads on a store that serves one: after the nominal 6 s the planner
  // detects it.
  run_for(milliseconds(6500));
  const auto& expected = fleet.planner.expected_ready_times();
  ASSERT_TRUE(expected.contains("m0"));
  ASSERT_TRUE(expected.contains("m5"));
  EXPECT_GT(expected.at("m0"), fleet.now + milliseconds(5000));
  EXPECT_GE(expected.at("m5"), expected.at("m0") + milliseconds(6000));
  run_for(milliseconds(18500));
  for (auto& [id, report] : fleet.reports) report.busy = false;
  fleet.apply_targets();
  fleet.step();
  int store_loads = 0;
  for (const auto& [id, worker] : fleet.planner.workers()) {
    if (worker.pending_load && worker.pending_load->from_store) ++store_loads;
  }
  EXPECT_EQ(store_loads, 1);
}

TEST(residency_planner_test, a_load_within_the_tolerance_is_not_overdue) {
  // A model without a copy is loaded from the store, and its caller waits up to
  // 9 s. When the load was due it counted as overdue and was assumed to need as
  // long again, so the caller was rejected; the model was ready 10 ms later.
  simulated_fleet fleet(1, 2);
  fleet.send_reports();
  fleet.send_demand({waiting_demand("m0")});
  fleet.step();
  fleet.now += milliseconds(700);
  fleet.send_reports();
  fleet.send_demand({waiting_demand("m0")});
  fleet.step();
  ASSERT_TRUE(fleet.planner.workers().at("w0").pending_load);
  fleet.reports["w0"].busy = true;
  for (int tenths = 0; tenths < 62; ++tenths) {
    fleet.send_reports();
    fleet.send_demand({waiting_demand("m0")});
    fleet.step();
    const auto& expected = fleet.planner.expected_ready_times();
    ASSERT_TRUE(expected.contains("m0"));
    EXPECT_LE(expected.at("m0"), fleet.now + milliseconds(6300 - 100 * tenths))
        << tenths;
    fleet.now += milliseconds(100);
  }
}

TEST(residency_planner_test, preloads_on_a_new_worker_without_copies) {
  // A release replaces a worker by an empty one. The old workers are full and
  // load one requested model after the other from disk; the new one is never
  // the soonest for any of them and stayed idle for the rest of the run.
  simulated_fleet fleet(2, 8);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.set_disk_copies("w0", {"m0", "m1", "m2", "m3", "m4"});
  fleet.send_reports();
  fleet.send_demand({{.service = "assist", .model = "m3", .arrivals = 2},
                     {.service = "assist", .model = "m4", .arrivals = 1}});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m3"), std::set<std::string>{"w1"});
}

TEST(residency_planner_test, preloads_a_restarted_worker_from_its_disk) {
  // A worker restarts after a crash with no model loaded and all copies on
  // disk. A requested model is loaded there before its callers wait for it or
  // queue at another replica.
  simulated_fleet fleet(2, 8);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.set_disk_copies("w1", {"m0", "m3", "m4"});
  fleet.send_reports();
  fleet.send_demand({{.service = "assist", .model = "m3", .arrivals = 3}});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m3"), std::set<std::string>{"w1"});
}

TEST(residency_planner_test, does_not_preload_models_without_requests) {
  // Every model has a local copy, so its first request waits for a disk only.
  simulated_fleet fleet(2, 8);
  fleet.set_disk_copies("w0", {"m1", "m2", "m5", "m6", "m7"});
  fleet.set_disk_copies("w1", {"m0", "m3", "m4"});
  fleet.send_reports();
  fleet.send_demand({});
  fleet.step();
  for (const auto& [id, worker] : fleet.planner.workers()) {
    EXPECT_FALSE(worker.pending_load) << id;
  }
}

TEST(residency_planner_test,
     a_new_planner_waits_for_reports_before_store_loads) {
  // All machines restart after a power loss. The first agent to report has no
  // copy of the busy model, the next one, 80 ms later, has one. A load from the
  // store that started in between delayed its callers by 6 s.
  simulated_fleet fleet(2, 8);
  fleet.set_disk_copies("w1", {"m0"});
  fleet.planner.start(fleet.now);
  fleet.planner.on_report("w0", fleet.reports["w0"], fleet.now);
  fleet.send_demand({waiting_demand("m0")});
  fleet.step();
  EXPECT_TRUE(fleet.workers_with_target("m0").empty());
  fleet.now += milliseconds(80);
  fleet.planner.on_report("w1", fleet.reports["w1"], fleet.now);
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0"), std::set<std::string>{"w1"});
}

// Guards against a second replica of a model whose worker reports last.
TEST(residency_planner_test, a_new_planner_waits_for_reports_before_preloads) {
  simulated_fleet fleet(2, 8);
  fleet.add_models("w1", {"m0"});
  fleet.set_disk_copies("w0", {"m0"});
  fleet.planner.start(fleet.now);
  fleet.planner.on_report("w0", fleet.reports["w0"], fleet.now);
  fleet.send_demand({{.service = "assist", .model = "m0", .arrivals = 3}});
  fleet.step();
  EXPECT_TRUE(fleet.workers_with_target("m0").empty());
  fleet.now += milliseconds(80);
  fleet.planner.on_report("w1", fleet.reports["w1"], fleet.now);
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0"), std::set<std::string>{"w1"});
}

TEST(residency_planner_test, expects_no_ready_time_for_a_loaded_model) {
  // A busy model is scaled out. Callers that waited briefly for one of its
  // adapters were rejected as if no worker would have the model in time.
  simulated_fleet fleet(3, 8);
  fleet.add_models("w0", {"m0"});
  fleet.set_disk_copies("w1", {"m0"});
  fleet.set_disk_copies("w2", {"m1"});
  fleet.send_reports();
  fleet.send_demand({waiting_demand("m1")}, {{"w0", "m0", {}, 40}});
  fleet.step();
  ASSERT_EQ(fleet.workers_with_target("m0").size(), 2U);
  fleet.step();
  EXPECT_FALSE(fleet.planner.expected_ready_times().contains("m0"));
  EXPECT_TRUE(fleet.planner.expected_ready_times().contains("m1"));
}

TEST(residency_planner_test, a_new_planner_stops_waiting_for_missing_reports) {
  simulated_fleet fleet(2, 8);
  fleet.planner.start(fleet.now);
  fleet.planner.on_report("w0", fleet.reports["w0"], fleet.now);
  fleet.now += std::chrono::seconds(1);
  fleet.planner.on_report("w0", fleet.reports["w0"], fleet.now);
  fleet.send_demand({waiting_demand("m0")});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0"), std::set<std::string>{"w0"});
}

TEST(residency_planner_test, a_replica_on_a_crashed_worker_does_not_count) {
  // Two workers hold a busy model and one of them crashes. The platform lists
  // it for several seconds more; if it counted as a replica, the last live
  // replica could be evicted for a rare model, and all requests of the busy
  // model would wait.
  simulated_fleet fleet(3, 8);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m0"});
  fleet.add_models("w2", {"m3", "m4", "m5"});
  for (const char* worker : {"w0", "w2"}) fleet.set_disk_copies(worker, {"m6"});
  fleet.send_reports();
  fleet.now += std::chrono::seconds(2);
  fleet.planner.on_report("w0", fleet.reports["w0"], fleet.now);
  fleet.planner.on_report("w2", fleet.reports["w2"], fleet.now);
  fleet.send_demand({{.service = "assist", .model = "m0", .arrivals = 20},
                     waiting_demand("m6")});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0").count("w0"), 1U);
  EXPECT_EQ(fleet.workers_with_target("m6").size(), 1U);
}

TEST(residency_planner_test, plans_no_load_on_a_draining_worker) {
  simulated_fleet fleet(2, 8);
  fleet.set_disk_copies("w0", {"m0"});
  fleet.list.servers["w0"].draining = true;
  fleet.planner.set_servers(fleet.list, fleet.now);
  fleet.send_reports();
  fleet.send_demand({waiting_demand("m0")});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0"), std::set<std::string>{"w1"});
}

TEST(residency_planner_test, loads_elsewhere_what_a_draining_worker_holds) {
  // The only worker with the model reports that it is draining, but the server
  // list does not say so.
  simulated_fleet fleet(2, 8);
  fleet.add_models("w0", {"m0"});
  fleet.reports["w0"].leaving = true;
  fleet.send_reports();
  fleet.send_demand({waiting_demand("m0")});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0").count("w1"), 1U);
}

TEST(residency_planner_test, evicts_the_least_recently_requested_idle_adapter) {
  simulated_fleet fleet(1, 2);
  fleet.add_models("w0", {"m0"});
  fleet.reports["w0"].models[0].adapters = {"a1", "a2"};
  fleet.send_reports();
  fleet.send_demand(
      {{.service = "assist", .model = "m0", .adapter = "a1", .arrivals = 1}});
  fleet.now += milliseconds(100);
  auto demand = waiting_demand("m0");
  demand.adapter = "a3";
  fleet.send_demand({demand});
  fleet.step();
  const auto& adapters = fleet.planner.workers().at("w0").target.adapters;
  EXPECT_EQ(std::set<std::string>(adapters.begin(), adapters.end()),
            (std::set<std::string>{"m0/a1", "m0/a3"}));
}

TEST(residency_planner_test, loads_elsewhere_when_a_worker_is_unresponsive) {
  // The machine of a worker stalls while the last report of its agent is still
  // valid. Its callers waited for their full 2 s timeout, although another
  // worker had the model on disk.
  simulated_fleet fleet(2, 4);
  fleet.add_models("w0", {"m0"});
  fleet.add_models("w1", {"m1", "m2", "m3"});
  fleet.set_disk_copies("w1", {"m0"});
  fleet.send_reports();
  fleet.send_demand({{.service = "assist", .model = "m0", .arrivals = 3}},
                    {{.server = "w0", .model = "m0", .requests = 3}});
  fleet.step();
  EXPECT_FALSE(fleet.workers_with_target("m0").contains("w1"));
  fleet.send_unresponsive({"w0"},
                          {{.service = "assist", .model = "m0", .waiting = 3}},
                          {{.server = "w0", .model = "m0", .requests = 3}});
  fleet.step();
  EXPECT_TRUE(fleet.workers_with_target("m0").contains("w1"));
}

TEST(residency_planner_test,
     a_worker_that_responds_to_one_router_is_responsive) {
  // Only the connection of one router to the worker is broken.
  simulated_fleet fleet(2, 4);
  fleet.add_models("w0", {"m0"});
  fleet.add_models("w1", {"m1", "m2", "m3"});
  fleet.set_disk_copies("w1", {"m0"});
  fleet.send_reports();
  fleet.send_demand_from("r2",
                         {{.service = "assist", .model = "m0", .arrivals = 3}},
                         {{.server = "w0", .model = "m0", .requests = 1}});
  fleet.send_unresponsive({"w0"},
                          {{.service = "assist", .model = "m0", .waiting = 2}},
                          {{.server = "w0", .model = "m0", .requests = 1}});
  fleet.step();
  EXPECT_FALSE(fleet.workers_with_target("m0").contains("w1"));
}

TEST(residency_planner_test, prefetches_models_without_a_copy) {
  // Half of the models fit on the workers at the start. The first request for
  // each of the others waited 6 s for the store, though the store and most
  // workers had been idle for half a minute.
  simulated_fleet fleet(3, 12);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m3", "m4", "m5"});
  fleet.add_models("w2", {"m6", "m7", "m8"});
  fleet.send_reports();
  fleet.now += milliseconds(700);
  fleet.send_reports();
  fleet.send_demand({{.service = "assist", .model = "m10", .arrivals = 1}},
                    {{.server = "w0", .model = "m0", .requests = 2},
                     {.server = "w0", .model = "m1", .requests = 2},
                     {.server = "w0", .model = "m2", .requests = 2}});
  fleet.step();
  // The requested model comes first; models in use are not evicted.
  EXPECT_EQ(fleet.workers_with_target("m10").size(), 1);
  EXPECT_FALSE(fleet.workers_with_target("m10").contains("w0"));
}

TEST(residency_planner_test,
     does_not_prefetch_while_requests_wait_for_the_store) {
  simulated_fleet fleet(3, 12);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m3", "m4", "m5"});
  fleet.add_models("w2", {"m6", "m7", "m8"});
  fleet.send_reports();
  fleet.now += milliseconds(1100);
  fleet.send_reports();
  fleet.send_demand({waiting_demand("m9", 7), waiting_demand("m10", 7)});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m9").size(), 1);
  EXPECT_EQ(fleet.workers_with_target("m10").size(), 1);
  EXPECT_TRUE(fleet.workers_with_target("m11").empty());
}

TEST(residency_planner_test, prefetches_with_all_store_slots) {
  // With one store slot kept free, five models were loaded in the first 50 s of
  // a run, and the others were requested before their turn.
  simulated_fleet fleet(6, 30);
  for (int worker = 0; worker < 6; ++worker) {
    const auto model = [worker](int offset) {
      return "m" + std::to_string(3 * worker + offset);
    };
    fleet.add_models("w" + std::to_string(worker),
                     {model(0), model(1), model(2)});
  }
  fleet.send_reports();
  fleet.now += milliseconds(700);
  fleet.send_reports();
  for (int step = 0; step < 10; ++step) fleet.step();
  int store_loads = 0;
  for (const auto& [id, worker] : fleet.planner.workers()) {
    if (worker.is_loading_from_store()) ++store_loads;
  }
  EXPECT_EQ(store_loads, simulated_fleet::store_capacity);
}

// Guards against callers who wait for a worker that takes a request a second
// while others have room.
TEST(residency_planner_test, loads_elsewhere_what_only_a_limited_worker_holds) {
  simulated_fleet fleet(2, 2);
  fleet.add_models("w0", {"m0"});
  fleet.set_disk_copies("w1", {"m0"});
  fleet.send_reports();
  fleet.planner.set_rate_limited_workers(
      [](const std::string& id) { return id == "w0"; });
  model_demand demand{
      .service = "assist", .model = "m0", .arrivals = 1, .waiting = 1};
  demand.oldest_wait = milliseconds(30);
  fleet.send_demand({demand});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0"), std::set<std::string>{"w0"});
  demand.oldest_wait = milliseconds(300);
  fleet.send_demand({demand});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0"),
            (std::set<std::string>{"w0", "w1"}));
}

// Guards against loads at a worker that takes hardly any requests.
TEST(residency_planner_test, plans_no_load_on_a_rate_limited_worker) {
  simulated_fleet fleet(1, 1);
  fleet.set_disk_copies("w0", {"m0"});
  fleet.send_reports();
  fleet.planner.set_rate_limited_workers(
      [](const std::string&) { return true; });
  fleet.send_demand(
      {{.service = "assist", .model = "m0", .arrivals = 1, .waiting = 1}});
  fleet.step();
  EXPECT_TRUE(fleet.workers_with_target("m0").empty());
}

}  // namespace
}  // namespace boragehill::decide
