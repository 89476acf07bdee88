#include <chrono>
#include <csignal>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

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

std::string told(const caller_crowd::tally& of) {
  return "sent " + std::to_string(of.sent) + ", read " +
         std::to_string(of.read) + ", served " + std::to_string(of.served) +
         ", in time " + std::to_string(of.in_time) + ", unread at first " +
         std::to_string(of.unread);
}

/// Three routers, the first of which gets all callers.
class crowded_router_test : public testing::Test {
 protected:
  caller_crowd callers(std::size_t body_bytes = 1) const {
    return {"/lookup/x",
            {this->fleet.caller_address(1), this->fleet.caller_address(2),
             this->fleet.caller_address(3)},
            body_bytes};
  }

  /// \return What the first router has logged.
  std::string log_of_router() const {
    const auto logs = this->fleet.keep_logs("crowded");
    std::ifstream log(logs + "/router-1.log");
    std::string lines{std::istreambuf_iterator<char>(log), {}};
    std::filesystem::remove_all(logs);
    return lines;
  }

  /// \return How many of the attempts the first router has read.
  int known_to_router(const std::vector<std::string>& attempts) const {
    const std::string lines = this->log_of_router();
    int known = 0;
    for (const auto& each : attempts) {
      if (lines.find("request=" + each + " ") != std::string::npos) ++known;
    }
    return known;
  }

  small_fleet fleet{3, 1, 8, 1};
};

// Guards against requests that a router reads after their callers have left,
// while it gets more new connections than its processor can serve.
TEST_F(crowded_router_test,
       serves_what_it_reads_in_time_while_most_callers_come_to_it) {
  ASSERT_TRUE(this->fleet.start());
  auto callers = this->callers();
  // Opens connections to the servers.
  callers.send("warm", calm_rate, milliseconds(500));
  auto& router = this->fleet["router-1"];
  const double before = process_test::cpu_seconds(router);
  callers.send("measure", crowd_rate, milliseconds(1000));
  const double used = process_test::cpu_seconds(router) - before;
  constexpr double served_part = 0.4;
  const double share = served_part * used;
  RecordProperty("core_share", std::to_string(share));
  const process_test::cpu_quota quota(router, share);
  const auto calm = callers.send("calm", calm_rate, milliseconds(2000));
  const auto crowd = callers.send("crowd", crowd_rate, milliseconds(4000));
  RecordProperty("calm", told(calm));
  RecordProperty("crowd", told(crowd));
  EXPECT_GE(calm.served, 0.95 * calm.sent) << told(calm);
  EXPECT_GE(crowd.served_share(), least_of_share_before * calm.served_share())
      << told(crowd);
  EXPECT_GE(crowd.in_time, least_of_share_before * crowd.sent) << told(crowd);
  EXPECT_EQ(this->known_to_router(crowd.unread_attempts), 0);
}

// Guards against a router that takes two connections at once for a queue.
TEST_F(crowded_router_test, takes_pairs_of_connections_for_no_overload) {
  ASSERT_TRUE(this->fleet.start());
  auto& router = this->fleet["router-1"];
  for (int each = 0; each < 40; ++each) {
    router.signal(SIGSTOP);
    const int first = this->fleet.connect(1);
    const int second = this->fleet.connect(1);
    router.signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(30));
    ::close(first);
    ::close(second);
  }
  const std::string lines = this->log_of_router();
  EXPECT_NE(lines.find("name=process_ready"), std::string::npos);
  EXPECT_EQ(lines.find("name=overload_began"), std::string::npos);
}

// Guards against requests whose responses wait in front of a thin link until
// their callers have left.
TEST_F(crowded_router_test, takes_no_more_than_its_link_carries) {
  constexpr double link_mbps = 4;
  constexpr double link_bytes_per_s = link_mbps * 125000;
  constexpr std::size_t body_bytes = 3000;
  constexpr int seconds = 4;
  this->fleet.set_link(1, link_mbps);
  ASSERT_TRUE(this->fleet.start());
  auto callers = this->callers(body_bytes);
  const auto calm = callers.send("calm", 25, milliseconds(2000));
  const auto crowd = callers.send("crowd", 250, std::chrono::seconds(seconds));
  RecordProperty("calm", told(calm));
  RecordProperty("crowd", told(crowd));
  EXPECT_EQ(calm.unread, 0) << told(calm);
  // Each comes over the link and leaves over it twice, as request and response.
  const double moved = 2.0 * body_bytes * (crowd.sent - crowd.unread);
  EXPECT_LE(moved, seconds * link_bytes_per_s) << told(crowd);
  EXPECT_GE(crowd.in_time, least_of_share_before * crowd.sent) << told(crowd);
}

}  // namespace
}  // namespace boragehill::fleet_test
