#include "decide/crash_tracker.hpp"

#include <gtest/gtest.h>
#include <string>
#include <utility>
#include <vector>

#include "decide/crash_counter.hpp"

namespace boragehill::decide {
namespace {

const std::string poison = "poison";

class crash_tracker_test : public testing::Test {
 protected:
  /// Lets a server crash under the poison request that came by a router.
  void crash(crash_tracker& router, const std::string& server) {
    if (!router.on_interrupted(poison, server, this->now)) return;
    this->unreported.push_back(server);
  }

  /// Reports the crashes of all routers to the planner's counter, and its
  /// quarantined requests to all routers.
  void exchange_reports(const std::vector<crash_tracker*>& routers) {
    for (const auto& server : std::exchange(this->unreported, {})) {
      this->planner_counts.on_crash(poison, server, this->now);
    }
    for (auto* router : routers) {
      for (const auto& fingerprint :
           this->planner_counts.quarantined_requests(this->now)) {
        router->on_quarantined(fingerprint, this->now);
      }
    }
  }

  std::vector<std::string> unreported;
  crash_tracker first_router;
  crash_tracker second_router;
  crash_counter planner_counts{1024};
  time_point now{std::chrono::hours(1)};
};

TEST_F(crash_tracker_test, quarantines_everywhere_after_crashes_at_any_router) {
  // A request crashes one server through one router and two through another.
  // Neither router has counted three crashes; without the planner's sum the
  // request would go on to take down every server.
  this->crash(this->first_router, "a");
  this->crash(this->second_router, "b");
  this->exchange_reports({&this->first_router, &this->second_router});
  EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
  this->crash(this->second_router, "c");
  this->exchange_reports({&this->first_router, &this->second_router});
  EXPECT_TRUE(this->first_router.is_quarantined(poison, this->now));
  EXPECT_TRUE(this->second_router.is_quarantined(poison, this->now));
}

TEST_F(crash_tracker_test, quarantines_without_a_planner) {
  for (const char* server : {"a", "b", "c"}) {
    EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
    this->crash(this->first_router, server);
  }
  EXPECT_TRUE(this->first_router.is_quarantined(poison, this->now));
}

TEST_F(crash_tracker_test, clears_a_request_after_a_complete_response) {
  // Hundreds of callers send the identical request. Cut connections interrupt
  // it several times per second while other copies complete.
  this->first_router.on_completed(poison);
  for (int i = 0; i < 5; ++i) {
    const auto server = std::to_string(i);
    EXPECT_FALSE(this->first_router.on_interrupted(poison, server, this->now));
    this->second_router.on_interrupted(poison, server, this->now);
  }
  EXPECT_TRUE(this->second_router.is_quarantined(poison, this->now));
  this->first_router.on_quarantined(poison, this->now);
  EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
  this->second_router.on_completed(poison);
  EXPECT_FALSE(this->second_router.is_quarantined(poison, this->now));
}

TEST_F(crash_tracker_test, reports_quarantines_to_a_new_planner) {
  // The planner is lost after the third crash, and with it the count.
  for (const char* server : {"a", "b", "c"}) {
    this->first_router.on_interrupted(poison, server, this->now);
  }
  for (const auto& each : this->first_router.quarantined_requests(this->now)) {
    this->planner_counts.quarantine(each, this->now);
  }
  this->exchange_reports({&this->first_router, &this->second_router});
  EXPECT_TRUE(this->second_router.is_quarantined(poison, this->now));
}

// Guards against one crash that counts once for each request under way.
TEST_F(crash_tracker_test, counts_each_server_once) {
  for (int run = 0; run < 4; ++run) {
    this->crash(this->first_router, "a");
    this->crash(this->second_router, "a");
  }
  this->exchange_reports({&this->first_router, &this->second_router});
  EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
  EXPECT_FALSE(this->second_router.is_quarantined(poison, this->now));
}

TEST_F(crash_tracker_test, expires_quarantines) {
  this->first_router.on_quarantined(poison, this->now);
  this->now += crash_counter::retention / 2;
  this->first_router.on_quarantined(poison, this->now);
  EXPECT_TRUE(this->first_router.is_quarantined(poison, this->now));
  this->now += crash_counter::retention;
  EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
  this->first_router.on_interrupted(poison, "a", this->now);
  EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
}

TEST_F(crash_tracker_test, bounds_memory_and_keeps_quarantined_requests) {
  this->first_router.on_quarantined(poison, this->now);
  for (int i = 0; i < 10000; ++i) {
    this->now += milliseconds(1);
    this->first_router.on_interrupted("b" + std::to_string(i), "a", this->now);
    this->first_router.on_completed("a" + std::to_string(i));
  }
  EXPECT_TRUE(this->first_router.is_quarantined(poison, this->now));
  EXPECT_EQ(this->first_router.quarantined_requests(this->now),
            std::vector<std::string>{poison});
}

}  // namespace
}  // namespace boragehill::decide
