#include "decide/suspect_guard.hpp"

#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "decide/interruption.hpp"

namespace boragehill::decide {
namespace {

using list = std::vector<std::string>;
const std::string shared = "shared";
const std::string poison = "poison";

class suspect_guard_test : public testing::Test {
 protected:
  bool refuses(const list& parts) {
    return this->guard.is_quarantined(parts, this->now);
  }

  /// Lets a server interrupt a request, as one router sees it.
  void interrupt(const std::string& server) {
    this->guard.on_interrupted(server, sightings_of({shared, poison}),
                               this->now);
    this->now += milliseconds(400);
    this->guard.update(this->now);
  }

  suspect_guard guard;
  time_point now{std::chrono::hours(1)};
};

TEST_F(suspect_guard_test, refuses_prompts_with_a_quarantined_part) {
  this->guard.on_planner_linked();
  EXPECT_EQ(this->guard.on_quarantined({poison}, false, this->now),
            list{poison});
  EXPECT_EQ(this->guard.on_quarantined({poison}, false, this->now), list{});
  EXPECT_TRUE(this->refuses({shared, poison}));
  EXPECT_FALSE(this->refuses({shared, "x"}));
  EXPECT_FALSE(this->refuses({}));
  this->guard.on_quarantined({}, false, this->now);
  EXPECT_FALSE(this->refuses({shared, poison}));
}

TEST_F(suspect_guard_test, clears_what_completed_since_the_first_crash) {
  this->guard.on_planner_linked();
  this->guard.on_completed({"before", "after"}, this->now);
  this->now += milliseconds(100);
  this->guard.on_completed({"after"}, this->now);
  const std::map<std::string, milliseconds> asked{{"before", milliseconds(50)},
                                                  {"after", milliseconds(50)},
                                                  {"later", milliseconds(50)},
                                                  {poison, milliseconds(50)}};
  this->guard.on_suspected(asked, this->now);
  EXPECT_EQ(this->guard.take_cleared(), list{"after"});
  EXPECT_EQ(this->guard.take_completed_before(), list{"before"});
  this->now += milliseconds(100);
  this->guard.on_completed({"later", "never asked"}, this->now);
  EXPECT_EQ(this->guard.take_cleared(), list{"later"});
  EXPECT_EQ(this->guard.take_cleared(), list{});
}

TEST_F(suspect_guard_test, counts_by_itself_without_a_planner) {
  for (const char* server : {"a", "b", "c"}) {
    EXPECT_FALSE(this->refuses({poison}));
    this->interrupt(server);
  }
  EXPECT_TRUE(this->refuses({poison}));
  EXPECT_FALSE(this->refuses({shared}));
  EXPECT_EQ(this->guard.quarantined(this->now), list{poison});
}

// Guards against parts that are refused since responses are truncated, which
// the planner could tell from crashes.
TEST_F(suspect_guard_test, leaves_the_count_to_a_planner) {
  this->guard.on_planner_linked();
  for (const char* server : {"a", "b", "c", "d"}) this->interrupt(server);
  EXPECT_FALSE(this->refuses({poison}));
}

TEST_F(suspect_guard_test, keeps_quarantines_while_the_planner_changes) {
  this->guard.on_planner_linked();
  this->guard.on_quarantined({poison}, false, this->now);
  this->guard.on_planner_lost();
  EXPECT_TRUE(this->refuses({poison}));
  this->now += crash_suspects::retention + milliseconds(1);
  EXPECT_FALSE(this->refuses({poison}));
}

// Guards against quarantines that are lost with the planner that found them.
TEST_F(suspect_guard_test, keeps_what_a_new_planner_has_not_heard_of) {
  this->guard.on_planner_linked();
  this->guard.on_quarantined({poison}, true, this->now);
  this->guard.on_planner_lost();
  this->guard.on_planner_linked();
  EXPECT_EQ(this->guard.on_quarantined({"other"}, true, this->now),
            list{"other"});
  EXPECT_TRUE(this->refuses({poison}));
  EXPECT_TRUE(this->refuses({"other"}));
  this->guard.on_quarantined({"other"}, false, this->now);
  EXPECT_FALSE(this->refuses({poison}));
}

// Guards against a suspect that is refused for long after a request with it has
// completed, since no planner is there to say so.
TEST_F(suspect_guard_test, lets_in_what_completes_without_a_planner) {
  for (const char* server : {"a", "b", "c"}) this->interrupt(server);
  EXPECT_TRUE(this->refuses({poison}));
  EXPECT_TRUE(this->guard.on_completed({poison}, this->now));
  EXPECT_FALSE(this->refuses({poison}));
}

// Guards against quarantines that a restart of all routers forgets.
TEST_F(suspect_guard_test, takes_up_what_the_store_holds) {
  const std::map<std::string, milliseconds> stored{
      {poison, crash_suspects::retention / 2},
      {"old", crash_suspects::retention + milliseconds(1)}};
  EXPECT_EQ(this->guard.restore(stored, this->now), list{poison});
  EXPECT_EQ(this->guard.restore(stored, this->now), list{});
  EXPECT_TRUE(this->refuses({poison}));
  EXPECT_FALSE(this->refuses({"old"}));
  EXPECT_EQ(this->guard.quarantined(this->now), list{poison});
  this->now += crash_suspects::retention / 2 + milliseconds(1);
  EXPECT_FALSE(this->refuses({poison}));
}

TEST_F(suspect_guard_test, takes_up_nothing_of_the_store_beside_a_planner) {
  this->guard.on_planner_linked();
  EXPECT_EQ(this->guard.restore({{poison, milliseconds(1)}}, this->now),
            list{});
  EXPECT_FALSE(this->refuses({poison}));
}

TEST_F(suspect_guard_test, bounds_the_complete_responses_that_it_keeps) {
  constexpr std::size_t many = 3 * suspect_guard::max_completed;
  this->guard.on_planner_linked();
  this->guard.on_completed({"old"}, this->now);
  for (std::size_t each = 0; each < many; ++each) {
    this->now += milliseconds(1);
    this->guard.on_completed({shared, std::to_string(each)}, this->now);
  }
  this->guard.on_suspected(
      {{"old", milliseconds(0)}, {shared, milliseconds(0)}}, this->now);
  EXPECT_EQ(this->guard.take_completed_before(), list{shared});
}

}  // namespace
}  // namespace boragehill::decide
