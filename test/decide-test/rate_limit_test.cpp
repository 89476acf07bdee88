#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "decide/rate_limit_allocator.hpp"
#include "decide/rate_limited_servers.hpp"

namespace boragehill::decide {
namespace {

const time_point begin{std::chrono::seconds(100)};
constexpr auto server = "i-1";
constexpr milliseconds step{10};
constexpr milliseconds window{4000};

rate_limit_report report_of(std::optional<double> limit, int needed) {
  rate_limit_report report{.announcements = {{server, limit}}};
  if (needed > 0) report.needed.push_back({server, needed});
  return report;
}

/// Routers with requests for one limited server, and the planner. Each sends as
/// soon as it has a token, reports ten times a second, and is idle for a while
/// at random, so that tokens could add up.
class limited_fleet {
 public:
  limited_fleet(std::size_t routers, double limit, std::uint32_t seed)
      : limit(limit), random(seed), routers(routers) {
    for (auto& each : this->routers) {
      each.servers.on_announcement({server, limit}, begin);
    }
  }

  void run(milliseconds time) {
    for (auto now = begin; now < begin + time; now += step) this->run_step(now);
  }

  /// \return The most requests within any window.
  std::size_t most_in_a_window() const {
    std::size_t most = 0;
    for (auto first = this->sent.begin(); first != this->sent.end(); ++first) {
      const auto last =
          std::lower_bound(first, this->sent.end(), *first + window);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

  std::size_t all_sent() const { return this->sent.size(); }

 private:
  struct router {
    rate_limited_servers servers;
    time_point idle_until = begin;
    time_point next_report = begin;
  };

  void run_step(time_point now) {
    for (std::size_t each = 0; each < this->routers.size(); ++each) {
      this->report(each, now);
    }
    const auto granted = this->allocator.grant(now);
    for (std::size_t each = 0; each < this->routers.size(); ++each) {
      auto& servers = this->routers[each].servers;
      const auto found = granted.find(std::to_string(each));
      if (found != granted.end()) {
        for (const auto& tokens : found->second) servers.on_tokens(tokens, now);
      }
      while (servers.tokens(server, now) > 0) {
        servers.on_sent(server, now);
        this->sent.push_back(now);
      }
    }
  }

  void report(std::size_t number, time_point now) {
    auto& from = this->routers[number];
    if (now < from.next_report) return;
    from.next_report = now + milliseconds(100);
    if (this->random() % 40 == 0) {
      from.idle_until = now + milliseconds(this->random() % 6000);
    }
    const bool idle = now < from.idle_until;
    this->allocator.on_report(std::to_string(number),
                              report_of(this->limit, idle ? 0 : 8), now);
  }

  double limit;
  std::minstd_rand random;
  std::vector<router> routers;
  rate_limit_allocator allocator;
  std::vector<time_point> sent;
};

// Guards against routers whose shares of a limit add up to more than it.
TEST(rate_limit_test, routers_keep_a_limit_together) {
  for (const double limit : {0.2, 1.0, 1.4, 5.0, 40.0}) {
    for (const std::size_t routers : {1, 6, 20, 100}) {
      for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        limited_fleet fleet(routers, limit, seed);
        fleet.run(milliseconds(30000));
        EXPECT_LE(fleet.most_in_a_window(), 1.5 * limit * 4 + 5)
            << limit << " a second, routers " << routers << ", seed " << seed;
      }
    }
  }
}

// Guards against a limit of which the most part stays unused.
TEST(rate_limit_test, a_limit_is_used_whoever_has_requests) {
  for (const std::size_t routers : {1, 20}) {
    limited_fleet fleet(routers, 4.0, 7);
    fleet.run(milliseconds(30000));
    EXPECT_GE(fleet.all_sent(), 0.5 * 4 * 30);
  }
}

// Guards against a router that gets all tokens while others wait.
TEST(rate_limit_test, routers_get_tokens_in_turn) {
  rate_limit_allocator allocator;
  std::map<std::string, int> got;
  for (int tick = 0; tick < 100; ++tick) {
    const auto now = begin + tick * milliseconds(100);
    for (const char* router : {"a", "b", "c"}) {
      allocator.on_report(router, report_of(3.0, 8), now);
    }
    for (const auto& [router, tokens] : allocator.grant(now)) {
      for (const auto& each : tokens) got[router] += each.count;
    }
  }
  EXPECT_NEAR(got["a"], 10, 1);
  EXPECT_NEAR(got["b"], 10, 1);
  EXPECT_NEAR(got["c"], 10, 1);
}

TEST(rate_limit_test, tells_the_limits_and_who_waits) {
  rate_limit_allocator allocator;
  allocator.on_report("a", report_of(1.5, 1), begin);
  allocator.on_report("b", report_of(1.5, 0), begin);
  EXPECT_EQ(allocator.limits().at(server), (rate_limit{1.5, 1}));
  allocator.on_router_removed("a");
  EXPECT_EQ(allocator.limits().at(server), (rate_limit{1.5, 0}));
  allocator.on_report("b", report_of(std::nullopt, 0), begin);
  EXPECT_TRUE(allocator.limits().empty());
}

// Guards against a server that took nothing for a moment and is never asked
// again.
TEST(rate_limit_test, a_server_that_takes_nothing_is_asked_now_and_then) {
  limited_fleet fleet(6, 0.0, 3);
  fleet.run(milliseconds(60000));
  EXPECT_GE(fleet.all_sent(), 3U);
  EXPECT_LE(fleet.most_in_a_window(), 5U);
}

// Guards against limits of servers that are gone and stay forever.
TEST(rate_limit_test, forgets_servers_that_are_gone) {
  rate_limit_allocator allocator;
  allocator.on_report("a", report_of(1.5, 1), begin);
  allocator.keep_servers([](const std::string&) { return false; });
  EXPECT_TRUE(allocator.limits().empty());
  EXPECT_TRUE(allocator.grant(begin + milliseconds(5000)).empty());
}

TEST(rate_limited_servers_test, sends_nothing_without_a_token) {
  rate_limited_servers servers;
  EXPECT_TRUE(servers.may_send(server, begin));
  EXPECT_TRUE(servers.on_announcement({server, 1.0}, begin));
  EXPECT_FALSE(servers.on_announcement({server, 1.0}, begin));
  EXPECT_FALSE(servers.may_send(server, begin));
  servers.on_tokens({server, 1}, begin);
  EXPECT_TRUE(servers.may_send(server, begin));
  servers.on_sent(server, begin);
  EXPECT_FALSE(servers.may_send(server, begin));
}

// Guards against tokens that add up to a burst.
TEST(rate_limited_servers_test, loses_a_token_that_is_not_used_in_time) {
  rate_limited_servers servers;
  servers.on_announcement({server, 1.0}, begin);
  servers.on_tokens({server, 2}, begin);
  EXPECT_EQ(servers.tokens(server, begin + milliseconds(499)), 2);
  EXPECT_EQ(servers.tokens(server, begin + milliseconds(500)), 0);
}

TEST(rate_limited_servers_test, a_limit_ends_with_its_announcement) {
  rate_limited_servers servers;
  servers.on_announcement({server, 1.0}, begin);
  EXPECT_TRUE(servers.on_announcement({server, std::nullopt}, begin));
  EXPECT_TRUE(servers.may_send(server, begin));
  const auto told = servers.take_announcements();
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told.front().limit, std::nullopt);
}

// Guards against a planner's older list that ends what was just announced.
TEST(rate_limited_servers_test, its_own_announcement_is_newer_than_the_list) {
  rate_limited_servers servers;
  servers.on_announcement({server, 1.0}, begin);
  servers.on_planner_limits({}, begin + milliseconds(100));
  EXPECT_TRUE(servers.limit(server));
  servers.on_planner_limits({}, begin + milliseconds(2000));
  EXPECT_FALSE(servers.limit(server));
  servers.on_planner_limits({{server, {2.0, 3}}}, begin + milliseconds(2000));
  EXPECT_EQ(servers.limit(server), (rate_limit{2.0, 3}));
}

// Guards against a new planner that knows of no limit and grants nothing.
TEST(rate_limited_servers_test, announces_its_limits_to_a_new_planner) {
  rate_limited_servers servers;
  servers.on_announcement({server, 1.0}, begin);
  servers.take_announcements();
  const auto later = begin + milliseconds(5000);
  servers.announce_again(later);
  servers.on_planner_limits({}, later);
  EXPECT_TRUE(servers.limit(server));
  EXPECT_EQ(servers.take_announcements().size(), 1U);
}

}  // namespace
}  // namespace boragehill::decide
