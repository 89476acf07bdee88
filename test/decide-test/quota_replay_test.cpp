// Replays an account's load over many routers against both sides of the quota
// decision: what all routers send together, and what they reject.

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <vector>

#include "decide/account_allowance.hpp"
#include "decide/quota_allocator.hpp"

namespace {

using namespace boragehill;
using namespace boragehill::decide;

constexpr quota_settings settings{};
constexpr int routers = 31;
constexpr milliseconds end{40000};
constexpr milliseconds link_delay{2};
constexpr milliseconds plan_delay{8};
constexpr milliseconds report_interval{100};
constexpr milliseconds urgent_delay{3};
constexpr milliseconds detection{1000};
constexpr milliseconds patience{100};
constexpr milliseconds objective{400};

struct load {
  double per_second = 4200;
  double burst = 4200;
  double cost = 1200;
  /// Demand as a part of the quota, outside and inside the crest.
  double usual = 1 / 1.8;
  double crest = 1 / 1.8;
  milliseconds crest_begin{10000};
  milliseconds crest_end{16000};
  /// Routers that lose the planner at the crest's middle for ten seconds.
  int cut_off = 0;
  /// The planner is killed at the crest's begin; another one follows.
  bool planner_dies = false;
  std::uint64_t seed = 1;
};

struct outcome {
  double largest_excess = 0;
  /// What one bucket with the account's rate and burst would have admitted.
  double owed = 0;
  /// Of that.
  double rejected = 0;
};

struct message {
  milliseconds due{0};
  int router = 0;
  quota_report report;
  quota_grants grants;
};

class replay {
 public:
  explicit replay(const load& what)
      : what(what), random(what.seed), planner(settings) {
    const quota_limit limit{
        .account = "a", .per_second = what.per_second, .burst = what.burst};
    this->planner.start(at(milliseconds(-10000)));
    this->planner.set_limits({limit}, at(milliseconds(-10000)));
    this->nodes.assign(routers, node{});
    for (auto& each : this->nodes) each.quotas.set_limits({limit});
  }

  outcome run() {
    for (milliseconds now{0}; now < end; ++now) {
      this->fail(now);
      this->arrive(now);
      this->deliver(now);
      if (this->planner_up && now >= this->next_plan) this->plan(now);
      for (int each = 0; each < routers; ++each) this->step(each, now);
    }
    this->seen.largest_excess = this->excess();
    return this->seen;
  }

 private:
  struct waiting_request {
    milliseconds arrived{0};
    bool is_owed = false;
  };
  struct node {
    account_allowance quotas{settings};
    std::deque<waiting_request> waiting;
    milliseconds next_report{0};
    bool linked = true;
  };
  struct sent {
    milliseconds at{0};
    double cost = 0;
  };

  static time_point at(milliseconds when) {
    return time_point(milliseconds(100000) + when);
  }

  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  void lose_planner(int router, milliseconds now) {
    this->nodes[router].linked = false;
    this->nodes[router].quotas.on_planner_lost(routers, this->random(),
                                               at(now));
  }

  void find_planner(int router) {
    this->nodes[router].linked = true;
    this->nodes[router].quotas.on_planner_changed();
  }

  void fail(milliseconds now) {
    const auto middle = (this->what.crest_begin + this->what.crest_end) / 2;
    for (int each = 0; each < this->what.cut_off; ++each) {
      if (now == middle) this->nodes[each].linked = false;
      if (now == middle + detection) {
        this->lose_planner(each, now);
        this->planner.on_router_removed(std::to_string(each), at(now));
      }
      if (now == middle + milliseconds(10000)) this->find_planner(each);
    }
    if (!this->what.planner_dies) return;
    const auto death = this->what.crest_begin;
    if (now == death) {
      this->planner_up = false;
      this->to_planner.clear();
      for (int each = 0; each < routers; ++each) this->lose_planner(each, now);
    }
    if (now == death + milliseconds(1500)) {
      this->planner = quota_allocator(settings);
      this->planner.start(at(now));
      this->planner.set_limits({{.account = "a",
                                 .per_second = this->what.per_second,
                                 .burst = this->what.burst}},
                               at(now));
      this->planner_up = true;
      for (int each = 0; each < routers; ++each) this->find_planner(each);
    }
  }

  void arrive(milliseconds now) {
    const bool crest =
        now >= this->what.crest_begin && now < this->what.crest_end;
    const double rate = this->what.per_second / this->what.cost *
                        (crest ? this->what.crest : this->what.usual);
    this->ideal_tokens = std::min(
        this->ideal_tokens + this->what.per_second / 1000, this->what.burst);
    const int count = std::poisson_distribution<int>(rate / 1000)(this->random);
    for (int each = 0; each < count; ++each) {
      auto& chosen = this->nodes[this->random() % routers];
      const bool is_owed = this->ideal_tokens >= this->what.cost;
      if (is_owed) this->ideal_tokens -= this->what.cost;
      if (is_owed) this->seen.owed += this->what.cost;
      chosen.waiting.push_back({.arrived = now, .is_owed = is_owed});
      chosen.next_report = std::min(chosen.next_report, now + urgent_delay);
    }
  }

  void deliver(milliseconds now) {
    while (!this->to_planner.empty() && this->to_planner.front().due <= now) {
      const auto& first = this->to_planner.front();
      if (this->planner_up) {
        this->planner.on_report(std::to_string(first.router), first.report,
                                at(now));
        this->next_plan = std::min(this->next_plan, now + plan_delay);
      }
      this->to_planner.pop_front();
    }
    while (!this->to_routers.empty() && this->to_routers.front().due <= now) {
      const auto& first = this->to_routers.front();
      auto& receiver = this->nodes[first.router];
      if (receiver.linked) receiver.quotas.on_grants(first.grants, at(now));
      this->to_routers.pop_front();
    }
  }

  void plan(milliseconds now) {
    for (const auto& [router, grants] : this->planner.grant(at(now))) {
      this->to_routers.push_back({.due = now + link_delay,
                                  .router = std::stoi(router),
                                  .grants = grants});
    }
    this->next_plan = now + report_interval;
  }

  void step(int number, milliseconds now) {
    auto& self = this->nodes[number];
    const double cost = this->what.cost;
    while (!self.waiting.empty() && self.quotas.may_spend("a", cost, at(now))) {
      self.quotas.spend("a", cost, at(now));
      this->sends.push_back({.at = now, .cost = cost});
      self.waiting.pop_front();
    }
    double queued = 0;
    std::erase_if(self.waiting, [&](const waiting_request& each) {
      const quota_request asked{
          .account = "a", .cost = cost, .queued = queued, .patience = patience};
      const auto decided = self.quotas.decide(asked, this->random(), at(now));
      const bool is_rejected =
          std::holds_alternative<quota_rejection>(decided) ||
          now - each.arrived > objective;
      if (!is_rejected) {
        queued += cost;
        return false;
      }
      self.quotas.on_rejected(asked, at(now));
      if (each.is_owed) this->seen.rejected += cost;
      return true;
    });
    if (now < self.next_report) return;
    self.next_report = now + report_interval;
    if (!self.linked) return;
    std::vector<quota_need> needs;
    if (queued > 0) {
      needs.push_back({.account = "a", .waiting = queued, .first = cost});
    }
    this->to_planner.push_back(
        {.due = now + link_delay,
         .router = number,
         .report = self.quotas.report(needs, routers, at(now))});
  }

  /// \return By how much the window with the most sends is over the bound, as
  ///     a part of the bound; below 0 if none is.
  double excess() const {
    const double bound = (this->what.per_second * seconds_of(settings.window) +
                          this->what.burst) *
                             (1 + settings.over) +
                         settings.slack;
    double sum = 0;
    double most = 0;
    std::size_t first = 0;
    for (const auto& each : this->sends) {
      sum += each.cost;
      while (this->sends[first].at <= each.at - settings.window) {
        sum -= this->sends[first++].cost;
      }
      most = std::max(most, sum);
    }
    return most / bound - 1;
  }

  load what;
  std::mt19937_64 random;
  quota_allocator planner;
  std::vector<node> nodes;
  std::deque<message> to_planner;
  std::deque<message> to_routers;
  std::vector<sent> sends;
  milliseconds next_plan{0};
  bool planner_up = true;
  double ideal_tokens = 0;
  outcome seen;
};

/// The smallest and the largest account.
std::vector<load> accounts() {
  return {{}, {.per_second = 280000, .burst = 280000}};
}

template <typename Check>
void replay_all(Check check, void (*change)(load&)) {
  for (auto each : accounts()) {
    change(each);
    for (each.seed = 1; each.seed <= 5; ++each.seed) {
      SCOPED_TRACE(each.seed);
      SCOPED_TRACE(each.per_second);
      check(replay(each).run());
    }
  }
}

TEST(quota_replay_test, at_half_the_quota_hardly_any_owed_request_is_rejected) {
  replay_all(
      [](const outcome& seen) {
        EXPECT_LT(seen.rejected, 0.01 * seen.owed);
        EXPECT_LE(seen.largest_excess, 0);
      },
      [](load& what) { what.usual = what.crest = 0.5; });
}

TEST(quota_replay_test, at_the_quota_few_owed_requests_are_rejected) {
  replay_all(
      [](const outcome& seen) {
        EXPECT_LT(seen.rejected, 0.05 * seen.owed);
        EXPECT_LE(seen.largest_excess, 0);
      },
      [](load& what) { what.usual = what.crest = 1; });
}

// Guards against windows over the bound when an account sends ten times its
// usual demand.
TEST(quota_replay_test, ten_times_the_usual_demand_keeps_to_the_bound) {
  replay_all([](const outcome& seen) { EXPECT_LE(seen.largest_excess, 0); },
             [](load& what) { what.crest = 10 / 1.8; });
}

// Guards against a share that is spent by the routers that lost the planner and
// by the others, too.
TEST(quota_replay_test, a_third_of_the_routers_cut_off_keeps_to_the_bound) {
  replay_all([](const outcome& seen) { EXPECT_LE(seen.largest_excess, 0); },
             [](load& what) {
               what.crest = 10 / 1.8;
               what.crest_end = milliseconds(30000);
               what.cut_off = routers / 3;
             });
}

// Guards against grants of two planners and local shares that add up.
TEST(quota_replay_test, a_planner_killed_at_the_crest_keeps_to_the_bound) {
  replay_all([](const outcome& seen) { EXPECT_LE(seen.largest_excess, 0); },
             [](load& what) {
               what.crest = 10 / 1.8;
               what.planner_dies = true;
             });
}

}  // namespace
