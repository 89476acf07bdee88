#include "decide/crash_tracker.hpp"

#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "decide/crash_counter.hpp"

namespace boragehill::decide {
namespace {

const std::string poison = "poison";

class crash_tracker_test : public testing::Test {
 protected:
  /// Reports the crashes of all routers to the planner's counter, and its
  /// quarantined requests to all routers.
  void exchange_reports(const std::vector<crash_tracker*>& routers) {
    for (auto* router : routers) {
      for (const auto& fingerprint : router->take_crash_reports()) {
        this->planner_counts.on_crash(fingerprint, this->now);
      }
    }
    for (auto* router : routers) {
      for (const auto& fingerprint :
           this->planner_counts.quarantined_requests(this->now)) {
        router->on_quarantined(fingerprint, this->now);
      }
    }
  }

  crash_tracker first_router;
  crash_tracker second_router;
  crash_counter planner_counts{1024};
  time_point now{std::chrono::hours(1)};
};

TEST_F(crash_tracker_test, quarantines_everywhere_after_crashes_at_any_router) {
  // A request crashes one server through one router and two through another.
  // Neither router has counted three crashes; without the planner's sum the
  // request would go on to take down every server.
  this->first_router.on_interrupted(poison, this->now);
  this->second_router.on_interrupted(poison, this->now);
  this->exchange_reports({&this->first_router, &this->second_router});
  EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
  this->second_router.on_interrupted(poison, this->now);
  this->exchange_reports({&this->first_router, &this->second_router});
  EXPECT_TRUE(this->first_router.is_quarantined(poison, this->now));
  EXPECT_TRUE(this->second_router.is_quarantined(poison, this->now));
}

TEST_F(crash_tracker_test, quarantines_without_a_planner) {
  for (int i = 0; i < crash_counter::crash_limit; ++i) {
    EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
    this->first_router.on_interrupted(poison, this->now);
  }
  EXPECT_TRUE(this->first_router.is_quarantined(poison, this->now));
}

TEST_F(crash_tracker_test, clears_a_request_after_a_complete_response) {
  // Hundreds of callers send the identical request. Cut connections interrupt
  // it several times per second while other copies complete.
  this->first_router.on_completed(poison);
  for (int i = 0; i < 5; ++i) {
    this->first_router.on_interrupted(poison, this->now);
    this->second_router.on_interrupted(poison, this->now);
  }
  this->first_router.on_quarantined(poison, this->now);
  EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
  EXPECT_TRUE(this->first_router.take_crash_reports().empty());
  this->second_router.on_completed(poison);
  EXPECT_FALSE(this->second_router.is_quarantined(poison, this->now));
}

TEST_F(crash_tracker_test, reports_quarantines_to_a_new_planner) {
  // The planner is lost after the third crash, and with it the count.
  for (int i = 0; i < crash_counter::crash_limit; ++i) {
    this->first_router.on_interrupted(poison, this->now);
  }
  this->first_router.take_crash_reports();
  this->first_router.report_quarantined_again(this->now);
  this->exchange_reports({&this->first_router, &this->second_router});
  EXPECT_TRUE(this->second_router.is_quarantined(poison, this->now));
}

TEST_F(crash_tracker_test, expires_quarantines) {
  this->first_router.on_quarantined(poison, this->now);
  this->now += crash_counter::retention / 2;
  this->first_router.on_quarantined(poison, this->now);
  EXPECT_TRUE(this->first_router.is_quarantined(poison, this->now));
  this->now += crash_counter::retention;
  EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
  this->first_router.on_interrupted(poison, this->now);
  EXPECT_FALSE(this->first_router.is_quarantined(poison, this->now));
}

TEST_F(crash_tracker_test, bounds_memory_and_keeps_quarantined_requests) {
  this->first_router.on_quarantined(poison, this->now);
  for (int i = 0; i < 10000; ++i) {
    this->now += milliseconds(1);
    this->first_router.on_interrupted("b" + std::to_string(i), this->now);
    this->first_router.on_completed("a" + std::to_string(i));
  }
  EXPECT_TRUE(this->first_router.is_quarantined(poison, this->now));
  this->first_router.report_quarantined_again(this->now);
  EXPECT_LE(this->first_router.take_crash_reports().size(),
            crash_tracker::max_implicated + crash_counter::crash_limit);
}

}  // namespace
}  // namespace boragehill::decide
