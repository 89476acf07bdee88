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

crash_attribution book_of(std::size_t capacity) {
  return crash_attribution(
      {.capacity = capacity, .retention = milliseconds{1000}});
}

TEST(strikes_test, convicts_the_struck_one_at_the_second_crash) {
  crash_attribution book = book_of(100);
  EXPECT_TRUE(book.on_crash({"poison", "quote"}, start).empty());
  EXPECT_EQ(book.evaluate("quote", start), isolation_decision{run_isolated{}});
  const std::vector<std::string> guilty{"poison"};
  EXPECT_EQ(book.on_crash({"poison", "reading"}, start), guilty);
  EXPECT_EQ(book.evaluate("poison", start), isolation_decision{quarantined{}});
  EXPECT_EQ(book.evaluate("reading", start),
            isolation_decision{run_isolated{}});
  EXPECT_TRUE(book.on_crash({"poison"}, start).empty());
}

TEST(strikes_test, convicts_nobody_when_two_struck_ones_met) {
  // Guards against quarantining a harmless request: it was in flight at a crash
  // together with the poison request, both were retried, and two homes that
  // don't share their crash counts chose the same server for them.
  crash_attribution book = book_of(100);
  book.on_crash({"poison", "quote"}, start);
  EXPECT_TRUE(book.on_crash({"poison", "quote"}, start).empty());
  EXPECT_EQ(book.evaluate("quote", start), isolation_decision{run_isolated{}});
  EXPECT_EQ(book.evaluate("poison", start), isolation_decision{run_isolated{}});
}

TEST(strikes_test, clears_strikes_but_no_conviction_on_success) {
  crash_attribution book = book_of(100);
  book.on_crash({"quote"}, start);
  book.on_completed("quote");
  EXPECT_EQ(book.evaluate("quote", start), isolation_decision{run_normally{}});
  book.quarantine("poison", start);
  book.on_completed("poison");
  EXPECT_EQ(book.evaluate("poison", start), isolation_decision{quarantined{}});
}

TEST(strikes_test, forgets_after_the_keep_time_though_peers_repeat_it) {
  crash_attribution book = book_of(100);
  book.quarantine("poison", start);
  book.quarantine("poison", start + milliseconds{900});
  EXPECT_EQ(book.evaluate("poison", start + milliseconds{1000}),
            isolation_decision{quarantined{}});
  EXPECT_EQ(book.evaluate("poison", start + milliseconds{1001}),
            isolation_decision{run_normally{}});
}

TEST(strikes_test, drops_strikes_before_convictions_when_full) {
  crash_attribution book = book_of(2);
  book.quarantine("poison", start);
  book.on_crash({"a", "b", "c"}, start + milliseconds{1});
  EXPECT_EQ(book.size(), 2U);
  EXPECT_EQ(book.evaluate("poison", start), isolation_decision{quarantined{}});
}

TEST(strikes_test, lists_the_latest_convictions_first) {
  crash_attribution book = book_of(9);
  for (const char* name : {"a", "b", "c"}) {
    book.quarantine(name, start + milliseconds{name[0]});
  }
  book.on_crash({"quote"}, start);
  const std::vector<std::string> latest{"c", "b"};
  EXPECT_EQ(book.recent_quarantines(2), latest);
}

/// Servers that run random requests under the rules of `isolation_decision`.
/// The poison request is retried after each crash, as callers do.
class crash_run {
 public:
  explicit crash_run(unsigned seed) : random(seed) {}

  void run() {
    for (int step = 0; step < 300; ++step) this->step();
  }

  std::map<std::string, std::size_t> crashes{{"poison", 0}};
  std::set<std::string> refused;

 private:
  struct server {
    std::set<std::string> in_flight;
  };

  unsigned below(unsigned limit) { return this->random() % limit; }

  void step() {
    server& chosen = this->servers[this->below(3)];
    if (this->below(4) == 0) return this->end_all(chosen);
    const unsigned number = this->below(25);
    this->send(chosen, number == 0 ? "poison" : "q" + std::to_string(number));
  }

  void send(server& chosen, const std::string& request) {
    if (this->is_in_flight(request)) return;
    const isolation_decision verdict = this->book.evaluate(request, start);
    if (verdict == isolation_decision{quarantined{}}) {
      this->refused.insert(request);
      return;
    }
    const bool alone = verdict == isolation_decision{run_isolated{}};
    if (alone && this->runs_struck(chosen)) return;
    chosen.in_flight.insert(request);
  }

  /// Ends all requests on a server: by a crash if the poison request is one.
  void end_all(server& chosen) {
    const std::vector<std::string> ended(chosen.in_flight.begin(),
                                         chosen.in_flight.end());
    chosen.in_flight.clear();
    if (std::ranges::find(ended, "poison") == ended.end()) {
      for (const auto& request : ended) this->book.on_completed(request);
      return;
    }
    this->crashes["poison"] += 1;
    this->book.on_crash(ended, start);
  }

  bool is_in_flight(const std::string& request) const {
    return std::ranges::any_of(this->servers, [&](const server& each) {
      return each.in_flight.contains(request);
    });
  }

  bool runs_struck(const server& chosen) const {
    return std::ranges::any_of(chosen.in_flight, [&](const auto& request) {
      return this->book.evaluate(request, start) ==
             isolation_decision{run_isolated{}};
    });
  }

  std::mt19937 random;
  crash_attribution book = book_of(1000);
  std::vector<server> servers{3};
};

TEST(strikes_test, bounds_the_crashes_of_one_poison_and_spares_the_innocent) {
  int convictions = 0;
  for (unsigned seed = 0; seed < 500; ++seed) {
    crash_run trial(seed);
    trial.run();
    ASSERT_TRUE(invariants::poison_bound(trial.crashes, trial.refused))
        << "seed " << seed;
    convictions += trial.refused.empty() ? 0 : 1;
  }
  EXPECT_GT(convictions, 250);
}

}  // namespace
}  // namespace boragehill::decide
