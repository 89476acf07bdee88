#include "decide/crash_attribution.hpp"

#include <algorithm>
#include <cstddef>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "invariants/poison_bound.hpp"

namespace boragehill::decide {
namespace {

const time_point start{milliseconds{1000}};

crash_attribution make_attribution(std::size_t capacity) {
  return crash_attribution(
      {.capacity = capacity, .retention = milliseconds{1000}});
}

TEST(crash_attribution_test,
     quarantines_an_implicated_request_at_its_second_crash) {
  crash_attribution attribution = make_attribution(100);
  EXPECT_TRUE(attribution.on_crash({"poison", "quote"}, start).empty());
  EXPECT_EQ(attribution.evaluate("quote", start),
            isolation_decision{run_isolated{}});
  const std::vector<std::string> expected{"poison"};
  EXPECT_EQ(attribution.on_crash({"poison", "reading"}, start), expected);
  EXPECT_EQ(attribution.evaluate("poison", start),
            isolation_decision{quarantined{}});
  EXPECT_EQ(attribution.evaluate("reading", start),
            isolation_decision{run_isolated{}});
  EXPECT_TRUE(attribution.on_crash({"poison"}, start).empty());
}

TEST(crash_attribution_test,
     quarantines_none_if_two_implicated_requests_were_in_flight) {
  // Guards against quarantining a harmless request: it was in flight at a crash
  // together with the poison request, both were retried, and two homes that
  // don't share their crash counts chose the same server for them.
  crash_attribution attribution = make_attribution(100);
  attribution.on_crash({"poison", "quote"}, start);
  EXPECT_TRUE(attribution.on_crash({"poison", "quote"}, start).empty());
  EXPECT_EQ(attribution.evaluate("quote", start),
            isolation_decision{run_isolated{}});
  EXPECT_EQ(attribution.evaluate("poison", start),
            isolation_decision{run_isolated{}});
}

TEST(crash_attribution_test, clears_crashes_but_no_quarantine_on_completion) {
  crash_attribution attribution = make_attribution(100);
  attribution.on_crash({"quote"}, start);
  attribution.on_completed("quote");
  EXPECT_EQ(attribution.evaluate("quote", start),
            isolation_decision{run_normally{}});
  attribution.quarantine("poison", start);
  attribution.on_completed("poison");
  EXPECT_EQ(attribution.evaluate("poison", start),
            isolation_decision{quarantined{}});
}

TEST(crash_attribution_test,
     expires_a_quarantine_although_peers_report_it_again) {
  crash_attribution attribution = make_attribution(100);
  attribution.quarantine("poison", start);
  attribution.quarantine("poison", start + milliseconds{900});
  EXPECT_EQ(attribution.evaluate("poison", start + milliseconds{1000}),
            isolation_decision{quarantined{}});
  EXPECT_EQ(attribution.evaluate("poison", start + milliseconds{1001}),
            isolation_decision{run_normally{}});
}

TEST(crash_attribution_test, evicts_implicated_before_quarantined_requests) {
  crash_attribution attribution = make_attribution(2);
  attribution.quarantine("poison", start);
  attribution.on_crash({"a", "b", "c"}, start + milliseconds{1});
  EXPECT_EQ(attribution.size(), 2U);
  EXPECT_EQ(attribution.evaluate("poison", start),
            isolation_decision{quarantined{}});
}

TEST(crash_attribution_test, lists_the_latest_quarantines_first) {
  crash_attribution attribution = make_attribution(9);
  for (const char* name : {"a", "b", "c"}) {
    attribution.quarantine(name, start + milliseconds{name[0]});
  }
  attribution.on_crash({"quote"}, start);
  const std::vector<std::string> latest{"c", "b"};
  EXPECT_EQ(attribution.recent_quarantines(2), latest);
}

/// Servers that run random requests under the rules of `isolation_decision`.
/// The poison request is retried after each crash, as callers do.
class crash_simulation {
 public:
  explicit crash_simulation(unsigned seed) : random(seed) {}

  void run() {
    for (int step = 0; step < 300; ++step) this->step();
  }

  std::map<std::string, std::size_t> crashes{{"poison", 0}};
  std::set<std::string> refused;

 private:
  struct server {
    std::set<std::string> in_flight;
  };

  unsigned random_below(unsigned limit) { return this->random() % limit; }

  void step() {
    server& chosen = this->servers[this->random_below(3)];
    if (this->random_below(4) == 0) return this->end_requests(chosen);
    const unsigned number = this->random_below(25);
    this->send(chosen, number == 0 ? "poison" : "q" + std::to_string(number));
  }

  void send(server& chosen, const std::string& request) {
    if (this->is_in_flight(request)) return;
    const isolation_decision decision =
        this->attribution.evaluate(request, start);
    if (decision == isolation_decision{quarantined{}}) {
      this->refused.insert(request);
      return;
    }
    const bool is_isolated = decision == isolation_decision{run_isolated{}};
    if (is_isolated && this->runs_implicated(chosen)) return;
    chosen.in_flight.insert(request);
  }

  /// Ends all requests on a server: by a crash if the poison request is one.
  void end_requests(server& chosen) {
    const std::vector<std::string> ended(chosen.in_flight.begin(),
                                         chosen.in_flight.end());
    chosen.in_flight.clear();
    if (std::ranges::find(ended, "poison") == ended.end()) {
      for (const auto& request : ended) this->attribution.on_completed(request);
      return;
    }
    this->crashes["poison"] += 1;
    this->attribution.on_crash(ended, start);
  }

  bool is_in_flight(const std::string& request) const {
    return std::ranges::any_of(this->servers, [&](const server& candidate) {
      return candidate.in_flight.contains(request);
    });
  }

  bool runs_implicated(const server& chosen) const {
    return std::ranges::any_of(chosen.in_flight, [&](const auto& request) {
      return this->attribution.evaluate(request, start) ==
             isolation_decision{run_isolated{}};
    });
  }

  std::mt19937 random;
  crash_attribution attribution = make_attribution(1000);
  std::vector<server> servers{3};
};

TEST(crash_attribution_test, bounds_crashes_and_refuses_no_harmless_request) {
  int quarantines = 0;
  for (unsigned seed = 0; seed < 500; ++seed) {
    crash_simulation simulation(seed);
    simulation.run();
    ASSERT_TRUE(
        invariants::poison_bound(simulation.crashes, simulation.refused))
        << "seed " << seed;
    quarantines += simulation.refused.empty() ? 0 : 1;
  }
  EXPECT_GT(quarantines, 250);
}

}  // namespace
}  // namespace boragehill::decide
