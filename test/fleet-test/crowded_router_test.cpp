#include <chrono>
#include <gtest/gtest.h>
#include <memory>
#include <string>

#include "fleet-test/caller_crowd.hpp"
#include "fleet-test/small_fleet.hpp"
#include "process-test/cpu_quota.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

/// Of the requests that a router reads, at least this part of the share before
/// is served while most new connections go to it.
constexpr double least_of_share_before = 0.75;
/// Callers a second.
constexpr int calm_rate = 100;
constexpr int crowd_rate = 1000;

/// A router with the processor for less than half of the crowd, and two others.
class crowded_router_test : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    // Opens connections to the servers.
    this->callers.send("warm", calm_rate, milliseconds(500));
    auto& router = this->fleet["router-1"];
    const double before = process_test::cpu_seconds(router);
    this->callers.send("measure", crowd_rate, milliseconds(1000));
    const double used = process_test::cpu_seconds(router) - before;
    constexpr double served_part = 0.4;
    const double share = served_part * used;
    RecordProperty("core_share", std::to_string(share));
    this->quota = std::make_unique<process_test::cpu_quota>(router, share);
  }

  static std::string told(const caller_crowd::tally& of) {
    return "sent " + std::to_string(of.sent) + ", read " +
           std::to_string(of.read) + ", served " + std::to_string(of.served) +
           ", in time " + std::to_string(of.in_time) + ", unread at first " +
           std::to_string(of.unread);
  }

  small_fleet fleet{3, 1, 8, 1};
  caller_crowd callers{
      "/lookup/x",
      {this->fleet.caller_address(1), this->fleet.caller_address(2),
       this->fleet.caller_address(3)}};
  std::unique_ptr<process_test::cpu_quota> quota;
};

// Guards against requests that a router reads after their callers have left,
// while it gets more new connections than its processor can serve.
TEST_F(crowded_router_test,
       serves_what_it_reads_in_time_while_most_callers_come_to_it) {
  const auto calm = this->callers.send("calm", calm_rate, milliseconds(2000));
  const auto crowd =
      this->callers.send("crowd", crowd_rate, milliseconds(4000));
  RecordProperty("calm", told(calm));
  RecordProperty("crowd", told(crowd));
  EXPECT_GE(calm.served, 0.95 * calm.sent) << told(calm);
  EXPECT_GE(crowd.served_share(), least_of_share_before * calm.served_share())
      << told(crowd);
  EXPECT_GE(crowd.in_time, least_of_share_before * crowd.sent) << told(crowd);
}

}  // namespace
}  // namespace boragehill::fleet_test
