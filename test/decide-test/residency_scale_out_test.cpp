#include <gtest/gtest.h>

#include "decide/residency_planner.hpp"
#include "simulated_fleet.hpp"

namespace boragehill::decide {
namespace {

constexpr int few_slots = 16;

TEST(residency_scale_out_test, scales_out_models_that_share_a_short_batch) {
  // Three busy models fill the batch of one worker, none of them with many
  // requests of its own, while the next worker is idle.
  simulated_fleet fleet(2, 8, few_slots);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.set_disk_copies("w1", {"m0", "m1", "m2"});
  fleet.send_reports();
  fleet.send_demand(
      {}, {{"w0", "m0", {}, 5}, {"w0", "m1", {}, 5}, {"w0", "m2", {}, 5}});
  fleet.step();
  const auto& target = fleet.planner.workers().at("w1").target.models;
  EXPECT_EQ(target.size(), 1U);
}

TEST(residency_scale_out_test, leaves_a_model_with_hardly_a_request_alone) {
  simulated_fleet fleet(2, 8, few_slots);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m3", "m4", "m5"});
  fleet.set_disk_copies("w1", {"m1"});
  fleet.send_reports();
  fleet.send_demand(
      {}, {{"w0", "m0", {}, 6}, {"w0", "m1", {}, 1}, {"w0", "m2", {}, 6}});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m1").size(), 1U);
}

TEST(residency_scale_out_test,
     loads_from_the_store_when_requests_queue_at_the_worker) {
  // The only worker with the model has 40 requests on 16 slots. None of them
  // waits in a router, since a hundred routers have sent one each.
  simulated_fleet fleet(2, 8, few_slots);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m3", "m4", "m5"});
  fleet.send_reports();
  fleet.now += std::chrono::seconds(2);
  fleet.send_reports();
  fleet.send_demand({}, {{"w0", "m0", {}, 40}});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 2U);
}

TEST(residency_scale_out_test, a_full_worker_alone_does_not_use_the_store) {
  simulated_fleet fleet(2, 8, few_slots);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m3", "m4", "m5"});
  fleet.send_reports();
  fleet.now += std::chrono::seconds(2);
  fleet.send_reports();
  fleet.send_demand({}, {{"w0", "m0", {}, few_slots}});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 1U);
}

TEST(residency_scale_out_test, keeps_replicas_that_others_can_not_replace) {
  // A busy model's second replica looked free and was evicted for a rare model,
  // though the first one, with a batch to share, was then scaled out again.
  simulated_fleet fleet(2, 8, few_slots);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m0", "m3", "m4"});
  fleet.set_disk_copies("w1", {"m6"});
  fleet.send_reports();
  const model_demand rare{.service = "assist", .model = "m3", .arrivals = 1};
  const model_demand other{.service = "assist", .model = "m4", .arrivals = 1};
  fleet.send_demand({rare, other, waiting_demand("m6")}, {{"w0", "m0", {}, 5}});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m6").size(), 1U);
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 2U);
}

TEST(residency_scale_out_test, keeps_a_replica_in_a_moment_without_requests) {
  // A model with some requests a second has none in flight when a rare model is
  // requested; its replica was evicted and loaded again two seconds later.
  simulated_fleet fleet(2, 8, few_slots);
  fleet.add_models("w0", {"m0", "m1", "m2"});
  fleet.add_models("w1", {"m0", "m3", "m4"});
  fleet.set_disk_copies("w1", {"m6"});
  fleet.send_reports();
  const model_demand busy{.service = "assist", .model = "m0", .arrivals = 80};
  const model_demand rare{.service = "assist", .model = "m3", .arrivals = 1};
  const model_demand other{.service = "assist", .model = "m4", .arrivals = 1};
  fleet.send_demand({busy, rare, other, waiting_demand("m6")});
  fleet.step();
  EXPECT_EQ(fleet.workers_with_target("m6").size(), 1U);
  EXPECT_EQ(fleet.workers_with_target("m0").size(), 2U);
}

}  // namespace
}  // namespace boragehill::decide
