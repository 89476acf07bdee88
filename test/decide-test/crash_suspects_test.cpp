#include "decide/crash_suspects.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

#include "decide/interruption.hpp"

namespace boragehill::decide {
namespace {

const std::string shared = "shared";
const std::string poison = "poison";

class crash_suspects_test : public testing::Test {
 protected:
  /// Lets a server end with prompts in flight that hold these parts.
  void crash(const std::string& server,
             const std::vector<std::string>& parts_in_flight) {
    this->interrupt(server, parts_in_flight);
    this->found.on_server_ended(server, this->now);
  }

  void interrupt(const std::string& server,
                 const std::vector<std::string>& parts_in_flight) {
    this->found.on_interrupted(server, milliseconds(0),
                               sightings_of(parts_in_flight), this->now);
  }

  /// Lets time pass in steps, as the planner plans.
  void pass(milliseconds time) {
    constexpr milliseconds step{20};
    for (milliseconds passed{0}; passed < time; passed += step) {
      this->now += step;
      this->found.update(this->now);
    }
  }

  std::vector<std::string> quarantined() {
    this->pass(part_settings.hearing + milliseconds(40));
    return this->found.quarantined(this->now);
  }

  crash_suspects found;
  time_point now{std::chrono::hours(1)};
};

using list = std::vector<std::string>;

TEST_F(crash_suspects_test, quarantines_the_part_that_is_in_each_crash) {
  this->crash("a", {shared, poison, "x"});
  this->pass(milliseconds(700));
  this->crash("b", {shared, poison, "y"});
  this->pass(milliseconds(700));
  EXPECT_EQ(this->quarantined(), list{});
  this->crash("c", {shared, poison, "z"});
  EXPECT_EQ(this->quarantined(), list{poison});
}

// Guards against the loss of all requests with a part that all share, where too
// few of them complete to clear it.
TEST_F(crash_suspects_test, blames_the_part_that_fewer_requests_share) {
  for (const char* server : {"a", "b", "c", "d", "e"}) {
    this->crash(server, {shared, poison});
    this->pass(milliseconds(100));
  }
  EXPECT_EQ(this->quarantined(), list{poison});
  this->crash("f", {shared, poison});
  this->pass(milliseconds(700));
  this->crash("g", {shared});
  EXPECT_EQ(this->quarantined(), list{poison});
}

TEST_F(crash_suspects_test, blames_a_first_part_that_nothing_else_explains) {
  for (const char* server : {"a", "b", "c"}) {
    this->crash(server, {shared, server});
    this->pass(milliseconds(100));
  }
  EXPECT_EQ(this->quarantined(), list{shared});
}

// Guards against sound parts that are taken for the cause as they are as far
// behind in the prompt.
TEST_F(crash_suspects_test, blames_a_part_that_has_never_completed) {
  for (const char* server : {"a", "b", "c", "d"}) {
    this->crash(server, {shared, poison, "subject"});
    this->pass(milliseconds(100));
    this->found.on_completed_before(shared);
    this->found.on_completed_before("subject");
  }
  EXPECT_EQ(this->quarantined(), list{poison});
}

TEST_F(crash_suspects_test, blames_all_parts_that_nothing_tells_apart) {
  for (const char* server : {"a", "b", "c"}) {
    this->crash(server, {shared, poison});
    this->interrupt(server, {shared, "other"});
    this->pass(milliseconds(100));
  }
  EXPECT_EQ(this->quarantined(), (list{"other", poison}));
}

// Guards against one crash that counts once for each router or request that saw
// it.
TEST_F(crash_suspects_test, counts_each_server_once) {
  for (int each = 0; each < 5; ++each) {
    this->crash("a", {poison});
    this->interrupt("a", {poison, "x" + std::to_string(each)});
    this->pass(milliseconds(100));
  }
  EXPECT_EQ(this->quarantined(), list{});
}

// Guards against crashes that count again when routers repeat what they saw.
TEST_F(crash_suspects_test, counts_no_server_again_that_is_reported_again) {
  for (int each = 0; each < 4; ++each) {
    this->crash("a", {poison});
    this->pass(crash_suspects::confirmation_limit + milliseconds(100));
  }
  EXPECT_EQ(this->quarantined(), list{});
}

// Guards against parts that are quarantined since a failure domain was lost.
TEST_F(crash_suspects_test, counts_servers_that_end_together_once) {
  for (int each = 0; each < 9; ++each) {
    this->crash("a" + std::to_string(each), {shared});
    this->now += milliseconds(4);
  }
  EXPECT_EQ(this->quarantined(), list{});
}

// Guards against crashes of one request, sent on at once, that count as one.
TEST_F(crash_suspects_test, counts_runs_that_began_one_after_the_other) {
  for (const char* server : {"a", "b", "c"}) {
    this->now += milliseconds(8);
    this->found.on_interrupted(server, milliseconds(0),
                               {{poison, {.ran = milliseconds(7)}}}, this->now);
    this->found.on_server_ended(server, this->now);
  }
  EXPECT_EQ(this->quarantined(), list{poison});
}

// Guards against parts that are quarantined since responses are truncated.
TEST_F(crash_suspects_test, ignores_interruptions_at_servers_that_run_on) {
  for (const char* server : {"a", "b", "c", "d"}) {
    this->interrupt(server, {shared});
    this->pass(crash_suspects::alive_after);
    this->found.on_server_responded(server, this->now);
    this->found.on_server_ended(server, this->now);
  }
  EXPECT_EQ(this->quarantined(), list{});
}

TEST_F(crash_suspects_test, trusts_no_response_of_before_the_end) {
  for (const char* server : {"a", "b", "c"}) {
    this->interrupt(server, {poison});
    this->found.on_server_responded(server, this->now);
    this->pass(milliseconds(100));
    this->found.on_server_ended(server, this->now);
  }
  EXPECT_EQ(this->quarantined(), list{poison});
}

TEST_F(crash_suspects_test, asks_before_the_limit_and_is_cleared) {
  this->crash("a", {shared});
  this->pass(milliseconds(100));
  EXPECT_TRUE(this->found.suspected(this->now).empty());
  this->crash("b", {shared});
  this->pass(milliseconds(20));
  EXPECT_EQ(this->found.suspected(this->now).count(shared), 1U);
  this->found.on_completed(shared);
  EXPECT_TRUE(this->found.suspected(this->now).empty());
  this->crash("c", {shared});
  EXPECT_EQ(this->quarantined(), list{});
}

TEST_F(crash_suspects_test, lets_a_quarantined_part_go_that_completes) {
  for (const char* server : {"a", "b", "c"}) {
    this->crash(server, {shared});
    this->pass(milliseconds(100));
  }
  EXPECT_EQ(this->quarantined(), list{shared});
  EXPECT_EQ(this->found.suspected(this->now).count(shared), 1U);
  this->found.on_completed(shared);
  EXPECT_EQ(this->quarantined(), list{});
}

TEST_F(crash_suspects_test, takes_over_what_an_earlier_planner_found) {
  this->found.quarantine(poison, this->now);
  EXPECT_EQ(this->quarantined(), list{poison});
  this->crash("a", {shared, poison});
  this->crash("b", {shared});
  this->pass(crash_suspects::retention / 2);
  this->found.quarantine(poison, this->now);
  this->now += crash_suspects::retention;
  EXPECT_EQ(this->quarantined(), list{});
}

TEST_F(crash_suspects_test, merges_late_reports_of_other_routers) {
  for (const char* server : {"a", "b", "c"}) {
    this->crash(server, {shared});
    this->pass(milliseconds(80));
    this->interrupt(server, {shared, poison});
    this->pass(milliseconds(20));
  }
  EXPECT_EQ(this->quarantined(), list{poison});
}

// Guards against callers that fill the planner's memory with parts.
TEST_F(crash_suspects_test, bounds_what_it_keeps) {
  this->found.quarantine(poison, this->now);
  constexpr std::size_t servers = 40;
  for (std::size_t server = 0; server < servers; ++server) {
    const auto name = "s" + std::to_string(server);
    sighting_map seen;
    for (std::size_t part = 0; part < 1000; ++part) {
      seen.emplace(name + "-" + std::to_string(part),
                   suspect_sighting{.position = 1});
    }
    this->found.on_interrupted(name, milliseconds(0), seen, this->now);
    this->found.on_server_ended(name, this->now);
    this->now += milliseconds(100);
  }
  EXPECT_LE(this->found.size(), crash_suspects::max_suspects);
  EXPECT_EQ(this->quarantined(), list{poison});
}

// Guards against sound parts that are taken for the cause while servers crash
// one after the other, and against a cause that is found too late.
RC_GTEST_FIXTURE_PROP(crash_suspects_test,
                      finds_the_one_part_and_no_other_in_a_storm, ()) {
  const int subjects = *rc::gen::inRange(3, 40);
  const int in_flight = *rc::gen::inRange(0, 20);
  const int gap_ms = *rc::gen::inRange(60, 2000);
  int crashes = 0;
  while (this->found.quarantined(this->now).empty()) {
    const auto server = "s" + std::to_string(crashes);
    sighting_map seen{{shared, {0}}, {poison, {1}}};
    for (int each = 0; each < in_flight; ++each) {
      seen.emplace("subject-" + std::to_string(*rc::gen::inRange(0, subjects)),
                   suspect_sighting{.position = 1});
    }
    this->found.on_interrupted(server, milliseconds(0), seen, this->now);
    this->found.on_server_ended(server, this->now);
    ++crashes;
    this->pass(milliseconds(gap_ms));
    // What completes elsewhere meanwhile, as routers tell.
    this->found.on_completed(shared);
    for (int each = 0; each < subjects / 2; ++each) {
      this->found.on_completed("subject-" +
                               std::to_string(*rc::gen::inRange(0, subjects)));
    }
    RC_ASSERT(crashes < 10);
  }
  const auto found = this->found.quarantined(this->now);
  RC_ASSERT(std::find(found.begin(), found.end(), poison) != found.end());
  RC_ASSERT(std::find(found.begin(), found.end(), shared) == found.end());
}

}  // namespace
}  // namespace boragehill::decide
