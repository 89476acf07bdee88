#include "decide/store_load_scheduler.hpp"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace boragehill::decide {
namespace {

const time_point start{milliseconds{100000}};

store_load_scheduler scheduler_for_two() {
  return store_load_scheduler({.max_parallel = 2,
                               .initial_load_time = milliseconds{1000},
                               .slot_timeout = milliseconds{5000},
                               .max_waiting = 4});
}

queued_load load_with_deadline(const std::string& model, int deadline_ms) {
  return {.server = "s1",
          .model = model,
          .deadline = start + milliseconds{deadline_ms}};
}

std::vector<std::string> models_of(const std::vector<queued_load>& loads) {
  std::vector<std::string> models;
  models.reserve(loads.size());
  for (const queued_load& load : loads) models.push_back(load.model);
  return models;
}

using names = std::vector<std::string>;

TEST(store_load_scheduler_test, starts_the_earliest_feasible_deadlines_first) {
  store_load_scheduler scheduler = scheduler_for_two();
  scheduler.enqueue(load_with_deadline("late", 500));
  scheduler.enqueue(load_with_deadline("last", 9000));
  scheduler.enqueue(load_with_deadline("second", 3000));
  scheduler.enqueue(load_with_deadline("first", 2000));
  EXPECT_EQ(models_of(scheduler.start_ready(start)),
            (names{"first", "second"}));
  EXPECT_TRUE(scheduler.start_ready(start).empty());
  scheduler.finish("s1", "first", milliseconds{1000});
  EXPECT_EQ(models_of(scheduler.start_ready(start)), names{"last"});
  scheduler.finish("s1", "second", milliseconds{0});
  EXPECT_EQ(models_of(scheduler.start_ready(start)), names{"late"});
}

TEST(store_load_scheduler_test, starts_cached_loads_when_all_slots_are_taken) {
  store_load_scheduler scheduler = scheduler_for_two();
  scheduler.enqueue(load_with_deadline("a", 2000));
  scheduler.enqueue(load_with_deadline("b", 2000));
  scheduler.start_ready(start);
  queued_load cached = load_with_deadline("cached", 9000);
  cached.tier = checkpoint_tier::disk;
  scheduler.enqueue(load_with_deadline("c", 2000));
  scheduler.enqueue(cached);
  EXPECT_EQ(models_of(scheduler.start_ready(start)), names{"cached"});
  EXPECT_EQ(scheduler.running(), 2U);
}

TEST(store_load_scheduler_test, frees_the_slot_of_a_load_that_never_ended) {
  // Guards against slots that are never freed when agents crash during a load:
  // in the end no model could be loaded although the weight store is idle.
  store_load_scheduler scheduler = scheduler_for_two();
  scheduler.enqueue(load_with_deadline("a", 2000));
  scheduler.enqueue(load_with_deadline("b", 2000));
  scheduler.start_ready(start);
  scheduler.enqueue(load_with_deadline("c", 9000));
  EXPECT_TRUE(scheduler.start_ready(start + milliseconds{5000}).empty());
  EXPECT_EQ(models_of(scheduler.start_ready(start + milliseconds{5001})),
            names{"c"});
}

TEST(store_load_scheduler_test, refuses_when_full_and_merges_a_repeated_load) {
  store_load_scheduler scheduler = scheduler_for_two();
  for (const char* model : {"a", "b", "c", "d"}) {
    EXPECT_TRUE(scheduler.enqueue(load_with_deadline(model, 9000)));
  }
  EXPECT_FALSE(scheduler.enqueue(load_with_deadline("e", 1000)));
  EXPECT_TRUE(scheduler.enqueue(load_with_deadline("d", 2000)));
  EXPECT_EQ(models_of(scheduler.start_ready(start)), (names{"d", "a"}));
  EXPECT_TRUE(scheduler.enqueue(load_with_deadline("d", 2000)));
  EXPECT_EQ(scheduler.waiting(), 2U);
}

TEST(store_load_scheduler_test, estimates_the_start_from_slots_and_queue) {
  const milliseconds load{1000};
  using list = std::vector<milliseconds>;
  EXPECT_EQ(expected_start(0, list{}, 2, load), milliseconds{0});
  EXPECT_EQ(expected_start(0, list{load}, 2, load), milliseconds{0});
  EXPECT_EQ(expected_start(1, list{load}, 2, load), load);
  const list both{milliseconds{700}, milliseconds{200}};
  EXPECT_EQ(expected_start(0, both, 2, load), milliseconds{200});
  EXPECT_EQ(expected_start(3, both, 2, load), milliseconds{1700});
  const list extra{milliseconds{-5}, milliseconds{200}, milliseconds{700}};
  EXPECT_EQ(expected_start(0, extra, 2, load), milliseconds{200});
}

TEST(store_load_scheduler_test, follows_the_measured_load_time) {
  store_load_scheduler scheduler = scheduler_for_two();
  for (int i = 0; i < 50; ++i) {
    scheduler.enqueue(load_with_deadline("a", 9000));
    scheduler.start_ready(start);
    scheduler.finish("s1", "a", milliseconds{4000});
  }
  EXPECT_NEAR(static_cast<double>(scheduler.load_time().count()), 4000, 100);
}

}  // namespace
}  // namespace boragehill::decide
