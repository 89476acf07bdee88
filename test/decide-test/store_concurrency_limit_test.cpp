#include "decide/store_concurrency_limit.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace boragehill::decide {
namespace {

constexpr milliseconds nominal{13200};

/// Simulates a store that serves `capacity` loads at full speed, with as many
/// loads as the limit allows, all started together.
/// \return The time that each load took.
milliseconds run_loads(store_concurrency_limit& store_limit, int capacity,
                       time_point& now) {
  const int loads = store_limit.limit();
  const double slowdown = std::max(1.0, static_cast<double>(loads) / capacity);
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(nominal * slowdown);
  now += elapsed;
  for (int load = 0; load < loads; ++load) {
    store_limit.on_load_finished(nominal, elapsed, loads, now);
  }
  return elapsed;
}

TEST(store_concurrency_limit_test,
     falls_to_one_when_the_store_serves_one_load) {
  // The workers of a fleet are replaced, and the store serves one load at full
  // speed. Four concurrent loads took 53 s each, and no caller was served
  // meanwhile.
  store_concurrency_limit store_limit(2);
  time_point now{std::chrono::hours(1)};
  run_loads(store_limit, 1, now);
  EXPECT_EQ(store_limit.limit(), 1);
  EXPECT_EQ(run_loads(store_limit, 1, now), nominal);
  EXPECT_EQ(run_loads(store_limit, 1, now), nominal);
  EXPECT_EQ(store_limit.limit(), 1);
}

TEST(store_concurrency_limit_test,
     rises_to_four_when_the_store_serves_four_loads) {
  store_concurrency_limit store_limit(2);
  time_point now{std::chrono::hours(1)};
  run_loads(store_limit, 4, now);
  EXPECT_EQ(store_limit.limit(), 3);
  run_loads(store_limit, 4, now);
  EXPECT_EQ(store_limit.limit(), 4);
  for (int round = 0; round < 4; ++round) run_loads(store_limit, 4, now);
  EXPECT_GE(store_limit.limit(), 4);
  EXPECT_LE(store_limit.limit(), 5);
}

TEST(store_concurrency_limit_test,
     a_higher_limit_is_tried_again_after_the_retry_interval) {
  store_concurrency_limit store_limit(2);
  time_point now{std::chrono::hours(1)};
  run_loads(store_limit, 1, now);
  ASSERT_EQ(store_limit.limit(), 1);
  now += store_concurrency_limit::raise_retry_interval;
  run_loads(store_limit, 4, now);
  EXPECT_EQ(store_limit.limit(), 2);
}

TEST(store_concurrency_limit_test, ignores_a_load_that_was_slow_on_its_own) {
  // A worker starts an order seconds late. Its load is slow for a reason other
  // than the store.
  store_concurrency_limit store_limit(1);
  store_limit.on_load_finished(nominal, nominal * 3, 1,
                               time_point(std::chrono::hours(1)));
  EXPECT_EQ(store_limit.limit(), 1);
  store_concurrency_limit higher_limit(4);
  higher_limit.on_load_finished(nominal, nominal * 3, 1,
                                time_point(std::chrono::hours(1)));
  EXPECT_EQ(higher_limit.limit(), 4);
}

TEST(store_concurrency_limit_test, does_not_rise_while_slots_are_unused) {
  store_concurrency_limit store_limit(4);
  store_limit.on_load_finished(nominal, nominal, 1.5,
                               time_point(std::chrono::hours(1)));
  EXPECT_EQ(store_limit.limit(), 4);
}

}  // namespace
}  // namespace boragehill::decide
