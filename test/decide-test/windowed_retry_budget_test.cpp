#include "decide/windowed_retry_budget.hpp"

#include <cstdint>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

#include "invariants/retries_within_budget.hpp"

namespace boragehill::decide {
namespace {

constexpr milliseconds window{10000};
constexpr auto service = "sheets";
const time_point start{std::chrono::seconds(100)};

/// Routers whose traffic comes and goes, whose attempts fail by turns, and
/// which end and start again at any time.
class unsteady_routers {
 public:
  unsteady_routers(std::uint64_t seed,
                   const windowed_retry_budget_settings& settings)
      : source(seed), settings(settings) {
    const int count = 1 + this->roll(8);
    for (int each = 0; each < count; ++each) {
      this->routers.push_back({windowed_retry_budget(settings)});
    }
    this->restart_odds = this->roll(2) == 0 ? 0 : 20 + this->roll(200);
  }

  void play(milliseconds length) {
    constexpr milliseconds step{50};
    for (milliseconds at{0}; at < length; at += step) {
      if (this->roll(30) == 0) this->fails = !this->fails;
      for (auto& each : this->routers) this->play(each, start + at);
    }
  }

  std::vector<invariants::retry_window> worst() const {
    return invariants::worst_retry_windows(
        this->requests, this->arrivals,
        {.per_request = this->settings.retries_per_request,
         .constant = this->settings.constant_retries,
         .window = this->settings.window});
  }

 private:
  struct router {
    windowed_retry_budget budget;
    int most_requests = 0;
  };

  int roll(int sides) {
    return static_cast<int>(this->source() % static_cast<unsigned>(sides));
  }

  void play(router& played, time_point now) {
    if (this->restart_odds > 0 && this->roll(this->restart_odds) == 0) {
      played.budget = windowed_retry_budget(this->settings);
    }
    if (this->roll(40) == 0) played.most_requests = this->roll(8);
    for (int each = this->roll(played.most_requests + 1); each > 0; --each) {
      played.budget.on_request(now);
      this->requests.push_back({service, this->next_attempt(), now});
    }
    const int count = static_cast<int>(this->routers.size());
    while (this->fails && played.budget.take_retry(now, count)) {
      const auto attempt = this->next_attempt();
      this->arrivals.push_back({service, attempt, now});
      this->arrivals.push_back({service, attempt, now});
    }
  }

  std::string next_attempt() { return std::to_string(++this->attempts); }

  std::mt19937_64 source;
  windowed_retry_budget_settings settings;
  std::vector<router> routers;
  int restart_odds = 0;
  bool fails = false;
  std::uint64_t attempts = 0;
  std::vector<invariants::service_event> requests;
  std::vector<invariants::service_event> arrivals;
};

// Guards against retries of all routers together that exceed the bound, since
// a process that starts has a whole budget or since windows aren't aligned.
TEST(windowed_retry_budget_test, keeps_the_bound_over_all_lives_in_any_window) {
  std::size_t most = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    unsteady_routers routers(seed,
                             {.retries_per_request = 0.2,
                              .constant_retries = seed % 3 == 0 ? 5.0 : 58.0,
                              .window = window});
    routers.play(std::chrono::seconds(60));
    for (const auto& each : routers.worst()) {
      EXPECT_LE(each.excess(), 0) << seed << ", " << each.retries << " retries";
      most = std::max(most, each.retries);
    }
  }
  EXPECT_GT(most, 50U);
}

TEST(windowed_retry_budget_test, starts_empty) {
  windowed_retry_budget budget({.constant_retries = 1000});
  EXPECT_FALSE(budget.take_retry(start, 1));
}

// Guards against a budget that refuses what the bound has room for.
TEST(windowed_retry_budget_test, lets_the_credits_of_a_window_be_used_at_once) {
  constexpr int routers = 4;
  windowed_retry_budget budget(
      {.retries_per_request = 0.2, .constant_retries = 58, .window = window});
  time_point now = start;
  for (int each = 0; each < 200; ++each) {
    budget.on_request(now);
    budget.retries_left(now, routers);
    now += milliseconds(50);
  }
  int taken = 0;
  while (budget.take_retry(now, routers)) ++taken;
  const double part = 0.2 * 200 + 58.0 / routers;
  EXPECT_GE(taken, static_cast<int>(0.4 * part));
  EXPECT_LE(taken, static_cast<int>(0.5 * part));
}

TEST(windowed_retry_budget_test, earns_new_credits_as_time_passes) {
  windowed_retry_budget budget(
      {.retries_per_request = 0, .constant_retries = 10, .window = window});
  EXPECT_FALSE(budget.take_retry(start, 1));
  const auto later = start + 10 * window;
  int taken = 0;
  while (budget.take_retry(later, 1)) ++taken;
  EXPECT_EQ(taken, 4);
  EXPECT_FALSE(budget.take_retry(later + window / 10, 1));
  EXPECT_TRUE(budget.take_retry(later + window / 4, 1));
}

TEST(windowed_retry_budget_test, uses_no_constant_part_of_unknown_size) {
  windowed_retry_budget budget(
      {.retries_per_request = 0.2, .constant_retries = 1000, .window = window});
  for (int each = 0; each < 20; ++each) budget.on_request(start);
  int taken = 0;
  while (budget.take_retry(start + milliseconds(500), std::nullopt)) ++taken;
  EXPECT_EQ(taken, 1);
  EXPECT_FALSE(budget.take_retry(start + milliseconds(600), 4));
  EXPECT_TRUE(budget.take_retry(start + milliseconds(800), 4));
}

}  // namespace
}  // namespace boragehill::decide
