#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "decide/trial_grants.hpp"
#include "decide/trial_permits.hpp"

namespace boragehill::decide {
namespace {

using list = std::vector<std::string>;
const std::string suspect = "suspect";

class suspect_trials_test : public testing::Test {
 protected:
  trial_grants planner;
  trial_permits router;
  time_point now{std::chrono::hours(1)};
};

// Guards against copies of one request that several routers send at once.
TEST_F(suspect_trials_test, permits_one_copy_over_all_routers) {
  EXPECT_EQ(this->planner.grant({suspect, "other"}, this->now),
            (list{suspect, "other"}));
  EXPECT_EQ(this->planner.grant({suspect}, this->now), list{});
  this->now += trial_grants::interval - milliseconds(1);
  EXPECT_EQ(this->planner.grant({suspect}, this->now), list{});
  this->now += milliseconds(1);
  EXPECT_EQ(this->planner.grant({suspect}, this->now), list{suspect});
}

TEST_F(suspect_trials_test, uses_a_permit_once) {
  EXPECT_FALSE(this->router.may_send(suspect, true, this->now));
  this->router.on_granted({suspect}, this->now);
  EXPECT_TRUE(this->router.may_send(suspect, true, this->now));
  EXPECT_FALSE(this->router.may_send("other", true, this->now));
  this->router.on_sent(suspect, this->now);
  EXPECT_FALSE(this->router.may_send(suspect, true, this->now));
}

// Guards against permits of a router that stood still: another router may have
// one meanwhile.
TEST_F(suspect_trials_test, drops_a_permit_that_was_not_used_in_time) {
  this->router.on_granted({suspect}, this->now);
  this->now += trial_permits::lifetime;
  EXPECT_TRUE(this->router.may_send(suspect, true, this->now));
  this->now += milliseconds(1);
  EXPECT_FALSE(this->router.may_send(suspect, true, this->now));
}

TEST_F(suspect_trials_test, sends_one_copy_an_interval_without_a_planner) {
  EXPECT_TRUE(this->router.may_send(suspect, false, this->now));
  this->router.on_sent(suspect, this->now);
  EXPECT_FALSE(this->router.may_send(suspect, false, this->now));
  this->now += trial_grants::interval;
  EXPECT_TRUE(this->router.may_send(suspect, false, this->now));
}

}  // namespace
}  // namespace boragehill::decide
