#include "decide/crash_tracker.hpp"

#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "decide/crash_counter.hpp"

namespace boragehill::decide {
namespace {

const std::string poison = "poison";

class crash_watch_test : public testing::Test {
 protected:
  /// Reports the crashes of all routers to the planner's counter, and its
  /// quarantined requests to all routers.
  void exchange_news(const std::vector<crash_tracker*>& routers) {
    for (auto* each : routers) {
      for (const auto& strike : each->take_crash_reports()) {
        this->tally.on_crash(strike, this->now);
      }
    }
    for (auto* each : routers) {
      for (const auto& guilty : this->tally.quarantined_requests(this->now)) {
        each->on_quarantined(guilty, this->now);
      }
    }
  }

  crash_tracker one;
  crash_tracker two;
  crash_counter tally{1024};
  time_point now{std::chrono::hours(1)};
};

TEST_F(crash_watch_test, three_crashes_at_any_routers_convict_everywhere) {
  // A request crashes one server through one router and two through another.
  // Neither router has counted three crashes; without the planner's sum the
  // request would go on to take down every server.
  this->one.on_interrupted(poison, this->now);
  this->two.on_interrupted(poison, this->now);
  this->exchange_news({&this->one, &this->two});
  EXPECT_FALSE(this->one.is_quarantined(poison, this->now));
  this->two.on_interrupted(poison, this->now);
  this->exchange_news({&this->one, &this->two});
  EXPECT_TRUE(this->one.is_quarantined(poison, this->now));
  EXPECT_TRUE(this->two.is_quarantined(poison, this->now));
}

TEST_F(crash_watch_test, a_router_without_a_planner_convicts_by_itself) {
  for (int each = 0; each < crash_counter::crash_limit; ++each) {
    EXPECT_FALSE(this->one.is_quarantined(poison, this->now));
    this->one.on_interrupted(poison, this->now);
  }
  EXPECT_TRUE(this->one.is_quarantined(poison, this->now));
}

TEST_F(crash_watch_test, an_answer_acquits) {
  // Hundreds of callers send the identical request. Cut connections interrupt
  // it several times per second while other copies complete.
  this->one.on_completed(poison);
  for (int each = 0; each < 5; ++each) {
    this->one.on_interrupted(poison, this->now);
    this->two.on_interrupted(poison, this->now);
  }
  this->one.on_quarantined(poison, this->now);
  EXPECT_FALSE(this->one.is_quarantined(poison, this->now));
  EXPECT_TRUE(this->one.take_crash_reports().empty());
  this->two.on_completed(poison);
  EXPECT_FALSE(this->two.is_quarantined(poison, this->now));
}

TEST_F(crash_watch_test, a_new_planner_hears_of_it) {
  // The planner is lost after the third crash, and with it the count.
  for (int each = 0; each < crash_counter::crash_limit; ++each) {
    this->one.on_interrupted(poison, this->now);
  }
  this->one.take_crash_reports();
  this->one.report_quarantined_again(this->now);
  this->exchange_news({&this->one, &this->two});
  EXPECT_TRUE(this->two.is_quarantined(poison, this->now));
}

TEST_F(crash_watch_test, a_conviction_ends) {
  this->one.on_quarantined(poison, this->now);
  this->now += crash_counter::retention / 2;
  this->one.on_quarantined(poison, this->now);
  EXPECT_TRUE(this->one.is_quarantined(poison, this->now));
  this->now += crash_counter::retention;
  EXPECT_FALSE(this->one.is_quarantined(poison, this->now));
  this->one.on_interrupted(poison, this->now);
  EXPECT_FALSE(this->one.is_quarantined(poison, this->now));
}

TEST_F(crash_watch_test, memory_is_bounded_and_keeps_the_convicted) {
  this->one.on_quarantined(poison, this->now);
  for (int each = 0; each < 10000; ++each) {
    this->now += milliseconds(1);
    this->one.on_interrupted("b" + std::to_string(each), this->now);
    this->one.on_completed("a" + std::to_string(each));
  }
  EXPECT_TRUE(this->one.is_quarantined(poison, this->now));
  this->one.report_quarantined_again(this->now);
  EXPECT_LE(this->one.take_crash_reports().size(),
            crash_tracker::max_implicated + crash_counter::crash_limit);
}

}  // namespace
}  // namespace boragehill::decide
