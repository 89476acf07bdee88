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
  /// What the planner hears of a router and tells all of them.
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
  // A caller's request crashes a server at one router and two at another.
  // Neither of them has seen three; without the sum it goes on, router by
  // router, until no server is left.
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
  // A list link that hundreds of students open is alike to the letter. Cut
  // connections strike it many times in a second; it is answered all the time.
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
  // The planner is lost after the third crash, and with it the sum.
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
