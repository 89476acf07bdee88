#include "decide/awaited_models.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

constexpr time_point ready{std::chrono::seconds(100)};

TEST(awaited_models_test, a_router_hears_of_the_models_it_waits_for) {
  // In a burst for rare models each router was told of all of them, and the
  // planner's link was full.
  std::map<std::string, time_point> ready_times;
  for (int model = 0; model < 80; ++model) {
    ready_times["m" + std::to_string(model)] = ready + milliseconds(model);
  }
  const demand_report demand{
      .demands = {{.service = "s", .model = "m7", .arrivals = 1, .waiting = 1},
                  {.service = "s", .model = "m8", .arrivals = 3},
                  {.service = "s", .model = "other", .waiting = 2}}};
  const std::map<std::string, time_point> expected{
      {"m7", ready + milliseconds(7)}};
  EXPECT_EQ(awaited_models(ready_times, demand), expected);
}

TEST(awaited_models_test, a_router_without_waiting_requests_hears_of_none) {
  EXPECT_TRUE(awaited_models({{"m", ready}}, {}).empty());
}

}  // namespace
}  // namespace boragehill::decide
