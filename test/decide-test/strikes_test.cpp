#include "decide/strikes.hpp"

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

strikes book_of(std::size_t capacity) {
  return strikes({.capacity = capacity, .keep = milliseconds{1000}});
}

TEST(strikes_test, convicts_the_struck_one_at_the_second_crash) {
  strikes book = book_of(100);
  EXPECT_TRUE(book.on_crash({"poison", "quote"}, start).empty());
  EXPECT_EQ(book.judge("quote", start), strike_verdict{run_alone{}});
  const std::vector<std::string> guilty{"poison"};
  EXPECT_EQ(book.on_crash({"poison", "reading"}, start), guilty);
  EXPECT_EQ(book.judge("poison", start), strike_verdict{convicted{}});
  EXPECT_EQ(book.judge("reading", start), strike_verdict{run_alone{}});
  EXPECT_TRUE(book.on_crash({"poison"}, start).empty());
}

TEST(strikes_test, convicts_nobody_when_two_struck_ones_met) {
  // Guards against quarantining a harmless request: it was in flight at a crash
  // together with the poison request, both were retried, and two homes that
  // don't share their crash counts chose the same server for them.
  strikes book = book_of(100);
  book.on_crash({"poison", "quote"}, start);
  EXPECT_TRUE(book.on_crash({"poison", "quote"}, start).empty());
  EXPECT_EQ(book.judge("quote", start), strike_verdict{run_alone{}});
  EXPECT_EQ(book.judge("poison", start), strike_verdict{run_alone{}});
}

TEST(strikes_test, clears_strikes_but_no_conviction_on_success) {
  strikes book = book_of(100);
  book.on_crash({"quote"}, start);
  book.on_success("quote");
  EXPECT_EQ(book.judge("quote", start), strike_verdict{free_to_run{}});
  book.convict("poison", start);
  book.on_success("poison");
  EXPECT_EQ(book.judge("poison", start), strike_verdict{convicted{}});
}

TEST(strikes_test, forgets_after_the_keep_time_though_peers_repeat_it) {
  strikes book = book_of(100);
  book.convict("poison", start);
  book.convict("poison", start + milliseconds{900});
  EXPECT_EQ(book.judge("poison", start + milliseconds{1000}),
            strike_verdict{convicted{}});
  EXPECT_EQ(book.judge("poison", start + milliseconds{1001}),
            strike_verdict{free_to_run{}});
}

TEST(strikes_test, drops_strikes_before_convictions_when_full) {
  strikes book = book_of(2);
  book.convict("poison", start);
  book.on_crash({"a", "b", "c"}, start + milliseconds{1});
  EXPECT_EQ(book.size(), 2U);
  EXPECT_EQ(book.judge("poison", start), strike_verdict{convicted{}});
}

TEST(strikes_test, lists_the_latest_convictions_first) {
  strikes book = book_of(9);
  for (const char* name : {"a", "b", "c"}) {
    book.convict(name, start + milliseconds{name[0]});
  }
  book.on_crash({"quote"}, start);
  const std::vector<std::string> latest{"c", "b"};
  EXPECT_EQ(book.recent_convictions(2), latest);
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
    const strike_verdict verdict = this->book.judge(request, start);
    if (verdict == strike_verdict{convicted{}}) {
      this->refused.insert(request);
      return;
    }
    const bool alone = verdict == strike_verdict{run_alone{}};
    if (alone && this->runs_struck(chosen)) return;
    chosen.in_flight.insert(request);
  }

  /// Ends all requests on a server: by a crash if the poison request is one.
  void end_all(server& chosen) {
    const std::vector<std::string> ended(chosen.in_flight.begin(),
                                         chosen.in_flight.end());
    chosen.in_flight.clear();
    if (std::ranges::find(ended, "poison") == ended.end()) {
      for (const auto& request : ended) this->book.on_success(request);
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
      return this->book.judge(request, start) == strike_verdict{run_alone{}};
    });
  }

  std::mt19937 random;
  strikes book = book_of(1000);
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
