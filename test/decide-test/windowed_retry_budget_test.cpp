#include "decide/windowed_retry_budget.hpp"

#include <cstdint>
#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "invariants/retries_within_budget.hpp"

namespace boragehill::decide {
namespace {

constexpr milliseconds window{10000};
constexpr auto service = "sheets";
const time_point start{std::chrono::seconds(100)};

/// Routers whose traffic comes and goes, whose attempts fail by turns, whose
/// retries may wait for a server, and which end and start again at any time.
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
    this->server_odds = this->roll(2) == 0 ? 1 : 20 + this->roll(200);
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
    int waiting = 0;
  };

  int roll(int sides) {
    return static_cast<int>(this->source() % static_cast<unsigned>(sides));
  }

  void play(router& played, time_point now) {
    if (this->restart_odds > 0 && this->roll(this->restart_odds) == 0) {
      played.budget = windowed_retry_budget(this->settings);
      played.waiting = 0;
    }
    if (this->roll(40) == 0) played.most_requests = this->roll(8);
    for (int each = this->roll(played.most_requests + 1); each > 0; --each) {
      played.budget.on_request(now);
      this->requests.push_back({service, this->next_attempt(), now});
    }
    const int count = static_cast<int>(this->routers.size());
    while (this->fails && played.budget.grant_retry(now, count)) {
      ++played.waiting;
    }
    const bool has_server = this->roll(this->server_odds) == 0;
    while (has_server && played.waiting > 0 &&
           played.budget.may_send_retry(now, count)) {
      --played.waiting;
      this->send_retry(played, now);
    }
    if (played.waiting > 0 && this->roll(100) == 0) {
      --played.waiting;
      played.budget.on_retry_dropped();
    }
  }

  void send_retry(router& from, time_point now) {
    from.budget.on_retry_sent();
    const auto attempt = this->next_attempt();
    this->arrivals.push_back({service, attempt, now});
    this->arrivals.push_back({service, attempt, now});
  }

  std::string next_attempt() { return std::to_string(++this->attempts); }

  std::mt19937_64 source;
  windowed_retry_budget_settings settings;
  std::vector<router> routers;
  int restart_odds = 0;
  int server_odds = 1;
  bool fails = false;
  std::uint64_t attempts = 0;
  std::vector<invariants::service_event> requests;
  std::vector<invariants::service_event> arrivals;
};

// Guards against retries of all routers together that exceed the bound, since
// a process starts with a whole budget, windows differ, or retries waited.
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

/// \return The retries that are granted and sent at once.
int send_all(windowed_retry_budget& budget, time_point now,
             std::optional<int> routers) {
  int sent = 0;
  while (budget.grant_retry(now, routers)) {
    EXPECT_TRUE(budget.may_send_retry(now, routers));
    budget.on_retry_sent();
    ++sent;
  }
  return sent;
}

TEST(windowed_retry_budget_test, starts_empty) {
  windowed_retry_budget budget({.constant_retries = 1000});
  EXPECT_FALSE(budget.grant_retry(start, 1));
}

// Guards against retries of two windows that wait for a server and arrive in
// one.
TEST(windowed_retry_budget_test, takes_the_credit_when_the_retry_is_sent) {
  windowed_retry_budget budget(
      {.retries_per_request = 0.2, .constant_retries = 0, .window = window});
  for (int each = 0; each < 30; ++each) budget.on_request(start);
  EXPECT_TRUE(budget.grant_retry(start, 1));
  EXPECT_TRUE(budget.grant_retry(start, 1));
  EXPECT_FALSE(budget.grant_retry(start, 1));
  budget.on_retry_dropped();
  EXPECT_TRUE(budget.grant_retry(start, 1));
  const auto later = start + window + milliseconds(1);
  EXPECT_FALSE(budget.may_send_retry(later, 1));
  for (int each = 0; each < 15; ++each) budget.on_request(later);
  EXPECT_TRUE(budget.may_send_retry(later, 1));
  budget.on_retry_sent();
  EXPECT_FALSE(budget.may_send_retry(later, 1));
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
  const int taken = send_all(budget, now, routers);
  const double part = 0.2 * 200 + 58.0 / routers;
  EXPECT_GE(taken, static_cast<int>(0.4 * part));
  EXPECT_LE(taken, static_cast<int>(0.5 * part));
}

TEST(windowed_retry_budget_test, earns_new_credits_as_time_passes) {
  windowed_retry_budget budget(
      {.retries_per_request = 0, .constant_retries = 10, .window = window});
  EXPECT_FALSE(budget.grant_retry(start, 1));
  const auto later = start + 10 * window;
  EXPECT_EQ(send_all(budget, later, 1), 4);
  EXPECT_FALSE(budget.grant_retry(later + window / 10, 1));
  EXPECT_TRUE(budget.grant_retry(later + window / 4, 1));
}

TEST(windowed_retry_budget_test, uses_no_constant_part_of_unknown_size) {
  windowed_retry_budget budget(
      {.retries_per_request = 0.2, .constant_retries = 1000, .window = window});
  for (int each = 0; each < 20; ++each) budget.on_request(start);
  EXPECT_EQ(send_all(budget, start + milliseconds(500), std::nullopt), 1);
  EXPECT_FALSE(budget.grant_retry(start + milliseconds(600), 4));
  EXPECT_TRUE(budget.grant_retry(start + milliseconds(800), 4));
}

}  // namespace
}  // namespace boragehill::decide
