#include <atomic>
#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

TEST(burst_test, five_models_that_nobody_holds_are_asked_for_at_once) {
  // The week of the seminar begins: five models that slept for months are
  // asked for at two routers in the same moment, and not all fit.
  // Every caller gets its answer, each request runs once, and no worker is
  // ordered beyond its memory.
  constexpr int workers = 3;
  constexpr int held = 3;
  constexpr int cold = 5;
  constexpr int requests = 200;
  small_fleet fleet(2, workers, 1, held + cold);
  ASSERT_TRUE(fleet.start());
  std::atomic<int> answered = 0;
  std::vector<std::thread> callers;
  callers.reserve(requests);
  for (int each = 0; each < requests; ++each) {
    callers.emplace_back([&fleet, &answered, each] {
      const auto answer = fleet.call(
          1 + each / 2 % 2, "b" + std::to_string(each),
          numbered("model", held + 1 + each % cold), "/stream/x", 10000);
      if (answer && answer->status == 200) ++answered;
    });
  }
  for (auto& each : callers) each.join();
  EXPECT_EQ(answered, requests);
  const auto runs = fleet.all_runs();
  for (int each = 0; each < requests; ++each) {
    const auto found = runs.find("b" + std::to_string(each));
    ASSERT_NE(found, runs.end()) << each;
    EXPECT_EQ(found->second, 1) << each;
  }
  EXPECT_TRUE(fleet.orders_were_sound());
}

}  // namespace
}  // namespace boragehill::fleet_test
