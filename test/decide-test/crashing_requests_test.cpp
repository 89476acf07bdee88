#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <utility>
#include <vector>

#include "decide/crash_suspects.hpp"
#include "decide/suspect_guard.hpp"

namespace boragehill::decide {
namespace {

using list = std::vector<std::string>;
const std::string poison = "poison";

/// Two routers and a planner that decide about whole requests.
class crashing_requests_test : public testing::Test {
 protected:
  struct sighted {
    std::string server;
    time_point at;
    sighting_map requests;
  };

  crashing_requests_test() {
    for (auto* router : this->routers) router->on_planner_linked();
  }

  /// Lets a server interrupt a run of a request that came by a router.
  void interrupt(suspect_guard& router, const std::string& server,
                 const std::string& request = poison) {
    const sighting_map seen{{request, {.ran = milliseconds(30)}}};
    router.on_interrupted(server, seen, this->now);
    router.update(this->now);
    this->unreported.push_back({server, this->now, seen});
  }

  /// Lets all tell each other what is new.
  void exchange_reports() {
    for (const auto& each : std::exchange(this->unreported, {})) {
      const milliseconds age(ms_between(each.at, this->now));
      this->planner.on_interrupted(each.server, age, each.requests, this->now);
    }
    for (auto* router : this->routers) {
      for (const auto& each : router->take_cleared()) {
        this->planner.on_completed(each);
      }
      for (const auto& each : router->take_completed_before()) {
        this->planner.on_completed_before(each);
      }
    }
    this->planner.update(this->now);
    std::map<std::string, milliseconds> suspected;
    for (const auto& [name, since] : this->planner.suspected(this->now)) {
      suspected.emplace(name, ms_between(since, this->now));
    }
    for (auto* router : this->routers) {
      router->on_suspected(suspected, this->now);
      router->on_quarantined(this->planner.quarantined(this->now), false,
                             this->now);
    }
  }

  /// Lets time pass with a report ten times a second.
  void pass(milliseconds time) {
    constexpr milliseconds step{100};
    for (milliseconds passed{0}; passed < time; passed += step) {
      this->now += step;
      this->exchange_reports();
    }
  }

  std::string next_server() {
    return "server-" + std::to_string(++this->ended);
  }

  /// Lets a server end with these requests in flight, by both routers in turn,
  /// whose reports come one after the other.
  void crash_with(const list& requests) {
    const auto server = this->next_server();
    for (const auto& each : requests) {
      this->interrupt(*this->routers[++this->sent % 2], server, each);
      this->exchange_reports();
    }
    this->pass(milliseconds(700));
  }

  bool refuses(const suspect_guard& router,
               const std::string& request = poison) {
    return router.is_quarantined({request}, this->now);
  }

  std::vector<sighted> unreported;
  suspect_guard first_router{own_request_settings};
  suspect_guard second_router{own_request_settings};
  std::vector<suspect_guard*> routers{&first_router, &second_router};
  crash_suspects planner{request_settings};
  time_point now{std::chrono::hours(1)};
  int ended = 0;
  std::size_t sent = 0;
};

// Guards against a request that takes down every server, as no router has seen
// three crashes.
TEST_F(crashing_requests_test,
       quarantines_everywhere_after_crashes_at_any_router) {
  this->interrupt(this->first_router, "a");
  this->pass(milliseconds(500));
  this->interrupt(this->second_router, "b");
  this->pass(milliseconds(500));
  EXPECT_FALSE(this->refuses(this->first_router));
  this->interrupt(this->second_router, "c");
  this->pass(milliseconds(500));
  EXPECT_TRUE(this->refuses(this->first_router));
  EXPECT_TRUE(this->refuses(this->second_router));
}

TEST_F(crashing_requests_test, quarantines_without_a_planner) {
  this->first_router.on_planner_lost();
  for (const char* server : {"a", "b", "c"}) {
    EXPECT_FALSE(this->refuses(this->first_router));
    this->now += milliseconds(40);
    this->interrupt(this->first_router, server);
  }
  EXPECT_TRUE(this->refuses(this->first_router));
}

// Guards against a planner that stands still, and so hears of no crash.
TEST_F(crashing_requests_test, quarantines_by_own_count_beside_a_planner) {
  for (const char* server : {"a", "b", "c"}) {
    this->now += milliseconds(40);
    this->interrupt(this->first_router, server);
  }
  EXPECT_TRUE(this->refuses(this->first_router));
}

// Guards against a request that is never refused, as it completed before it
// began to crash servers.
TEST_F(crashing_requests_test, trusts_no_response_of_before_the_first_crash) {
  for (auto* router : this->routers) {
    router->on_completed({poison}, this->now);
  }
  for (const char* server : {"a", "b", "c"}) {
    this->pass(milliseconds(500));
    this->interrupt(this->second_router, server);
  }
  this->pass(milliseconds(500));
  EXPECT_TRUE(this->refuses(this->first_router));
  EXPECT_TRUE(this->refuses(this->second_router));
}

// Guards against a crash that is dated back to an earlier interruption at the
// same server, so that a response from between them clears it.
TEST_F(crashing_requests_test, dates_a_crash_by_its_own_interruption) {
  this->interrupt(this->second_router, "a", "other");
  this->pass(milliseconds(1000));
  this->first_router.on_completed({poison}, this->now);
  this->pass(milliseconds(1000));
  for (const char* server : {"a", "b", "c"}) {
    this->interrupt(this->second_router, server);
    this->pass(milliseconds(500));
  }
  EXPECT_TRUE(this->refuses(this->first_router));
  EXPECT_TRUE(this->refuses(this->second_router));
}

// Guards against the loss of a request of hundreds of callers, some copies of
// which are interrupted while others complete.
TEST_F(crashing_requests_test, clears_a_request_that_completes_meanwhile) {
  for (int each = 0; each < 20; ++each) {
    const auto server = std::to_string(each);
    this->interrupt(this->second_router, server);
    this->interrupt(this->first_router, server + "x");
    this->pass(milliseconds(100));
    this->first_router.on_completed({poison}, this->now);
    this->pass(milliseconds(100));
    EXPECT_FALSE(this->refuses(this->first_router));
    EXPECT_FALSE(this->refuses(this->second_router));
  }
}

// Guards against a router that refuses for long what has completed elsewhere.
TEST_F(crashing_requests_test, lets_in_what_another_router_has_cleared) {
  for (const char* server : {"a", "b", "c"}) {
    this->now += milliseconds(40);
    this->interrupt(this->first_router, server);
  }
  EXPECT_TRUE(this->refuses(this->first_router));
  this->pass(milliseconds(500));
  EXPECT_TRUE(this->refuses(this->second_router));
  // A copy that was sent before ends.
  this->second_router.on_completed({poison}, this->now);
  this->pass(milliseconds(200));
  EXPECT_FALSE(this->refuses(this->first_router));
  EXPECT_FALSE(this->refuses(this->second_router));
}

TEST_F(crashing_requests_test, reports_quarantines_to_a_new_planner) {
  this->first_router.on_planner_lost();
  for (const char* server : {"a", "b", "c"}) {
    this->now += milliseconds(40);
    this->interrupt(this->first_router, server);
  }
  this->unreported.clear();
  for (const auto& each : this->first_router.quarantined(this->now)) {
    this->planner.quarantine(each, this->now);
  }
  this->first_router.on_planner_linked();
  this->exchange_reports();
  EXPECT_TRUE(this->refuses(this->second_router));
}

// Guards against one crash that counts once for each request under way.
TEST_F(crashing_requests_test, counts_each_server_once) {
  for (int run = 0; run < 4; ++run) {
    this->interrupt(this->first_router, "a");
    this->interrupt(this->second_router, "a");
    this->pass(milliseconds(100));
  }
  this->pass(milliseconds(500));
  EXPECT_FALSE(this->refuses(this->first_router));
  EXPECT_FALSE(this->refuses(this->second_router));
}

// Guards against a request that is refused since a failure domain was lost.
TEST_F(crashing_requests_test, counts_servers_that_end_together_once) {
  for (const char* server : {"a", "b", "c", "d"}) {
    this->interrupt(this->first_router, server);
    this->now += milliseconds(2);
  }
  this->pass(milliseconds(500));
  EXPECT_FALSE(this->refuses(this->first_router));
}

// Guards against a request that is never found, as it ended so many servers
// together that no further crash is stored.
TEST_F(crashing_requests_test, counts_crashes_after_many_that_came_together) {
  for (int each = 0; each < 20; ++each) {
    this->interrupt(this->first_router, this->next_server());
    this->now += milliseconds(1);
  }
  this->pass(milliseconds(1000));
  for (int each = 0; each < 2; ++each) {
    EXPECT_FALSE(this->refuses(this->second_router));
    this->interrupt(this->first_router, this->next_server());
    this->pass(milliseconds(1000));
  }
  EXPECT_TRUE(this->refuses(this->first_router));
  EXPECT_TRUE(this->refuses(this->second_router));
}

// Guards against a request that is refused since servers that live truncate its
// responses.
TEST_F(crashing_requests_test, takes_back_what_a_living_server_interrupted) {
  for (const char* server : {"a", "b", "c", "d"}) {
    this->interrupt(
        server == std::string("a") ? this->first_router : this->second_router,
        server);
    this->pass(crash_suspects::alive_after + milliseconds(100));
    this->planner.on_server_responded(server, this->now);
    this->pass(milliseconds(100));
  }
  EXPECT_TRUE(this->planner.quarantined(this->now).empty());
  EXPECT_FALSE(this->refuses(this->first_router));
}

TEST_F(crashing_requests_test, expires_quarantines) {
  this->first_router.on_quarantined({poison}, false, this->now);
  this->now += crash_suspects::retention / 2;
  this->first_router.on_quarantined({poison}, false, this->now);
  EXPECT_TRUE(this->refuses(this->first_router));
  this->now += crash_suspects::retention;
  EXPECT_FALSE(this->refuses(this->first_router));
  this->interrupt(this->first_router, "a");
  EXPECT_FALSE(this->refuses(this->first_router));
}

TEST_F(crashing_requests_test, bounds_memory_and_keeps_quarantined_requests) {
  for (const char* server : {"a", "b", "c"}) {
    this->now += milliseconds(40);
    this->interrupt(this->first_router, server);
  }
  for (int i = 0; i < 10000; ++i) {
    this->now += milliseconds(1);
    this->interrupt(this->first_router, "a" + std::to_string(i),
                    "b" + std::to_string(i));
    this->first_router.on_completed({"c" + std::to_string(i)}, this->now);
  }
  EXPECT_TRUE(this->refuses(this->first_router));
  EXPECT_EQ(this->first_router.quarantined(this->now), list{poison});
}

// Guards against crashes that are taken back because another lifetime responds
// in the name of the server that ended.
TEST_F(crashing_requests_test, counts_servers_that_ended_and_respond_again) {
  for (const char* server : {"a", "b", "c"}) {
    this->interrupt(this->first_router, server);
    this->pass(milliseconds(100));
    this->planner.on_server_ended(server, this->now);
    this->pass(milliseconds(3000));
    this->planner.on_server_responded(server, this->now);
  }
  this->pass(milliseconds(500));
  EXPECT_TRUE(this->refuses(this->second_router));
}

// Guards against copies of a request that are all sent after a crash that broke
// off several of them.
TEST_F(crashing_requests_test, suspects_a_request_by_copies_at_one_crash) {
  this->interrupt(this->first_router, "a");
  this->pass(milliseconds(100));
  EXPECT_FALSE(this->second_router.is_suspected(poison, this->now));
  const sighting_map seen{{poison, {.runs = 1}}};
  this->planner.on_interrupted("a", milliseconds(0), seen, this->now, "second");
  this->pass(milliseconds(100));
  EXPECT_TRUE(this->second_router.is_suspected(poison, this->now));
  EXPECT_FALSE(this->refuses(this->second_router));
}

// Guards against a sound request whose copies wait for each other for good.
TEST_F(crashing_requests_test, suspects_no_request_that_completes) {
  const sighting_map seen{{poison, {.runs = 2}}};
  this->planner.on_interrupted("a", milliseconds(0), seen, this->now, "second");
  this->pass(milliseconds(100));
  EXPECT_TRUE(this->first_router.is_suspected(poison, this->now));
  this->first_router.on_completed({poison}, this->now);
  this->pass(milliseconds(200));
  EXPECT_FALSE(this->first_router.is_suspected(poison, this->now));
  EXPECT_FALSE(this->second_router.is_suspected(poison, this->now));
}

// Guards against one run that is reported again and counts as several.
TEST_F(crashing_requests_test, counts_the_runs_of_each_router_once) {
  const sighting_map seen{{poison, {.runs = 1}}};
  for (int each = 0; each < 3; ++each) {
    this->planner.on_interrupted("a", milliseconds(0), seen, this->now,
                                 "first");
    this->pass(milliseconds(100));
  }
  EXPECT_FALSE(this->first_router.is_suspected(poison, this->now));
}

// Guards against a request that is never found, as each of its crashes counts
// for another one that was in flight there, too.
TEST_F(crashing_requests_test, finds_each_request_of_those_in_flight_together) {
  this->crash_with({"other", poison});
  this->crash_with({"other", poison});
  this->crash_with({"other"});
  EXPECT_TRUE(this->refuses(this->second_router, "other"));
  EXPECT_FALSE(this->refuses(this->second_router));
  EXPECT_TRUE(this->second_router.is_suspected(poison, this->now));
  this->crash_with({poison, "another"});
  this->crash_with({poison, "another"});
  EXPECT_TRUE(this->refuses(this->first_router));
  EXPECT_TRUE(this->refuses(this->second_router));
  EXPECT_TRUE(this->second_router.is_suspected("another", this->now));
}

// Guards against requests that come together and end a server more for each of
// them, as those that are reported first explain the crashes of all.
TEST_F(crashing_requests_test, finds_all_requests_that_always_come_together) {
  const list all{"one", "two", "three", "four", "five"};
  list left = all;
  constexpr int most_crashes = 5;
  for (int crashes = 0; crashes < most_crashes; ++crashes) {
    this->crash_with(left);
    std::erase_if(left, [this](const std::string& each) {
      return this->refuses(this->first_router, each);
    });
  }
  EXPECT_EQ(left, list{});
}

// Guards against the loss of a sound request that waits together with those
// that crash servers.
TEST_F(crashing_requests_test, refuses_no_request_whose_crashes_are_explained) {
  for (const char* other : {"one", "two", "three"}) {
    // Else one router would count three crashes by itself.
    ++this->sent;
    this->crash_with({other});
    this->crash_with({other});
    this->crash_with({other, poison});
    EXPECT_TRUE(this->refuses(this->second_router, other));
    EXPECT_FALSE(this->refuses(this->first_router));
    EXPECT_FALSE(this->refuses(this->second_router));
  }
  this->first_router.on_completed({poison}, this->now);
  this->pass(milliseconds(200));
  EXPECT_FALSE(this->second_router.is_suspected(poison, this->now));
}

// Guards against copies that a router without a planner sends all at once after
// a crash that broke off several of them.
TEST_F(crashing_requests_test, suspects_a_request_by_its_own_copies) {
  this->first_router.on_planner_lost();
  this->interrupt(this->first_router, "a");
  EXPECT_FALSE(this->first_router.is_suspected(poison, this->now));
  this->interrupt(this->first_router, "a");
  EXPECT_TRUE(this->first_router.is_suspected(poison, this->now));
}

}  // namespace
}  // namespace boragehill::decide
