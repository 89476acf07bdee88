#include "decide/store_load_scheduler.hpp"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace boragehill::decide {
namespace {

const time_point start{milliseconds{100000}};

store_load_scheduler two_at_once() {
  return store_load_scheduler({.max_parallel = 2,
                               .initial_load_time = milliseconds{1000},
                               .slot_timeout = milliseconds{5000},
                               .max_waiting = 4});
}

queued_load load_by(const std::string& model, int deadline_ms) {
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

TEST(store_pacing_test, starts_the_earliest_feasible_deadlines_first) {
  store_load_scheduler pacing = two_at_once();
  pacing.enqueue(load_by("late", 500));
  pacing.enqueue(load_by("last", 9000));
  pacing.enqueue(load_by("second", 3000));
  pacing.enqueue(load_by("first", 2000));
  EXPECT_EQ(models_of(pacing.start_ready(start)), (names{"first", "second"}));
  EXPECT_TRUE(pacing.start_ready(start).empty());
  pacing.finish("s1", "first", milliseconds{1000});
  EXPECT_EQ(models_of(pacing.start_ready(start)), names{"last"});
  pacing.finish("s1", "second", milliseconds{0});
  EXPECT_EQ(models_of(pacing.start_ready(start)), names{"late"});
}

TEST(store_pacing_test, lets_cached_checkpoints_pass_a_full_store) {
  store_load_scheduler pacing = two_at_once();
  pacing.enqueue(load_by("a", 2000));
  pacing.enqueue(load_by("b", 2000));
  pacing.start_ready(start);
  queued_load cached = load_by("cached", 9000);
  cached.tier = checkpoint_tier::disk;
  pacing.enqueue(load_by("c", 2000));
  pacing.enqueue(cached);
  EXPECT_EQ(models_of(pacing.start_ready(start)), names{"cached"});
  EXPECT_EQ(pacing.running(), 2U);
}

TEST(store_pacing_test, takes_back_the_slot_of_a_load_that_never_ended) {
  // Guards against slots that are never freed when agents crash during a load:
  // in the end no model could be loaded although the weight store is idle.
  store_load_scheduler pacing = two_at_once();
  pacing.enqueue(load_by("a", 2000));
  pacing.enqueue(load_by("b", 2000));
  pacing.start_ready(start);
  pacing.enqueue(load_by("c", 9000));
  EXPECT_TRUE(pacing.start_ready(start + milliseconds{5000}).empty());
  EXPECT_EQ(models_of(pacing.start_ready(start + milliseconds{5001})),
            names{"c"});
}

TEST(store_pacing_test, refuses_when_full_and_merges_a_load_asked_for_twice) {
  store_load_scheduler pacing = two_at_once();
  for (const char* model : {"a", "b", "c", "d"}) {
    EXPECT_TRUE(pacing.enqueue(load_by(model, 9000)));
  }
  EXPECT_FALSE(pacing.enqueue(load_by("e", 1000)));
  EXPECT_TRUE(pacing.enqueue(load_by("d", 2000)));
  EXPECT_EQ(models_of(pacing.start_ready(start)), (names{"d", "a"}));
  EXPECT_TRUE(pacing.enqueue(load_by("d", 2000)));
  EXPECT_EQ(pacing.waiting(), 2U);
}

TEST(store_pacing_test, estimates_the_start_from_slots_and_queue) {
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

TEST(store_pacing_test, follows_the_measured_load_time) {
  store_load_scheduler pacing = two_at_once();
  for (int i = 0; i < 50; ++i) {
    pacing.enqueue(load_by("a", 9000));
    pacing.start_ready(start);
    pacing.finish("s1", "a", milliseconds{4000});
  }
  EXPECT_NEAR(static_cast<double>(pacing.load_time().count()), 4000, 100);
}

}  // namespace
}  // namespace boragehill::decide
