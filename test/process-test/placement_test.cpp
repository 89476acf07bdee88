#include <gtest/gtest.h>

#include "process-test/cluster.hpp"

namespace boragehill::process_test {
namespace {

TEST(placement_test, a_fleet_that_starts_spreads_its_models) {
  // A fleet starts, and its profile is published before all agents have
  // registered. All five models were granted to the one server that had; it
  // holds two, so they drove each other out, and callers of a burst for all
  // five waited until their time was over while two servers stood idle.
  cluster own({.engines = 3, .models = 5, .late_agents = 2});
  ASSERT_TRUE(own.start());
  constexpr int places = 2;
  const auto granted = own.grants_by_server();
  EXPECT_EQ(granted.size(), 3U);
  for (const auto& [server, count] : granted) {
    EXPECT_LE(count, places) << server;
  }
}

}  // namespace
}  // namespace boragehill::process_test
