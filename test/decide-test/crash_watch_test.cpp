#include "decide/crash_watch.hpp"

#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "decide/crash_tally.hpp"

namespace boragehill::decide {
namespace {

const std::string poison = "poison";

class crash_watch_test : public testing::Test {
 protected:
  /// Reports the crashes of all routers to the planner's counter, and its
  /// quarantined requests to all routers.
  void exchange_news(const std::vector<crash_watch*>& routers) {
    for (auto* each : routers) {
      for (const auto& strike : each->take_strikes()) {
        this->tally.on_strike(strike, this->now);
      }
    }
    for (auto* each : routers) {
      for (const auto& guilty : this->tally.convicted(this->now)) {
        each->on_convicted(guilty, this->now);
      }
    }
  }

  crash_watch one;
  crash_watch two;
  crash_tally tally{1024};
  time_point now{std::chrono::hours(1)};
};

TEST_F(crash_watch_test, three_crashes_at_any_routers_convict_everywhere) {
  // A request crashes one server through one router and two through another.
  // Neither router has counted three crashes; without the planner's sum the
  // request would go on to take down every server.
  this->one.on_broken(poison, this->now);
  this->two.on_broken(poison, this->now);
  this->exchange_news({&this->one, &this->two});
  EXPECT_FALSE(this->one.is_convicted(poison, this->now));
  this->two.on_broken(poison, this->now);
  this->exchange_news({&this->one, &this->two});
  EXPECT_TRUE(this->one.is_convicted(poison, this->now));
  EXPECT_TRUE(this->two.is_convicted(poison, this->now));
}

TEST_F(crash_watch_test, a_router_without_a_planner_convicts_by_itself) {
  for (int each = 0; each < crash_tally::limit; ++each) {
    EXPECT_FALSE(this->one.is_convicted(poison, this->now));
    this->one.on_broken(poison, this->now);
  }
  EXPECT_TRUE(this->one.is_convicted(poison, this->now));
}

TEST_F(crash_watch_test, an_answer_acquits) {
  // Hundreds of callers send the identical request. Cut connections interrupt
  // it several times per second while other copies complete.
  this->one.on_answered(poison);
  for (int each = 0; each < 5; ++each) {
    this->one.on_broken(poison, this->now);
    this->two.on_broken(poison, this->now);
  }
  this->one.on_convicted(poison, this->now);
  EXPECT_FALSE(this->one.is_convicted(poison, this->now));
  EXPECT_TRUE(this->one.take_strikes().empty());
  this->two.on_answered(poison);
  EXPECT_FALSE(this->two.is_convicted(poison, this->now));
}

TEST_F(crash_watch_test, a_new_planner_hears_of_it) {
  // The planner is lost after the third crash, and with it the count.
  for (int each = 0; each < crash_tally::limit; ++each) {
    this->one.on_broken(poison, this->now);
  }
  this->one.take_strikes();
  this->one.tell_again(this->now);
  this->exchange_news({&this->one, &this->two});
  EXPECT_TRUE(this->two.is_convicted(poison, this->now));
}

TEST_F(crash_watch_test, a_conviction_ends) {
  this->one.on_convicted(poison, this->now);
  this->now += crash_tally::keep / 2;
  this->one.on_convicted(poison, this->now);
  EXPECT_TRUE(this->one.is_convicted(poison, this->now));
  this->now += crash_tally::keep;
  EXPECT_FALSE(this->one.is_convicted(poison, this->now));
  this->one.on_broken(poison, this->now);
  EXPECT_FALSE(this->one.is_convicted(poison, this->now));
}

TEST_F(crash_watch_test, memory_is_bounded_and_keeps_the_convicted) {
  this->one.on_convicted(poison, this->now);
  for (int each = 0; each < 10000; ++each) {
    this->now += milliseconds(1);
    this->one.on_broken("b" + std::to_string(each), this->now);
    this->one.on_answered("a" + std::to_string(each));
  }
  EXPECT_TRUE(this->one.is_convicted(poison, this->now));
  this->one.tell_again(this->now);
  EXPECT_LE(this->one.take_strikes().size(),
            crash_watch::most_struck + crash_tally::limit);
}

}  // namespace
}  // namespace boragehill::decide
