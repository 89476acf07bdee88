// Replays the choices of many routers from the same old figures at uneven
// servers: how even the load is, and how long requests take.

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <limits>
#include <queue>
#include <random>
#include <vector>

#include "decide/server_choice.hpp"

namespace {

using namespace boragehill::decide;

constexpr int servers = 40;
constexpr int slots = 32;
/// Between two reports of the other routers' requests.
constexpr int report_interval_ms = 100;
constexpr int end_ms = 30000;
constexpr int no_backlog_limit = std::numeric_limits<int>::max();

struct outcome {
  /// Of the load of the fullest server to the mean, over time.
  double imbalance = 0;
  /// 99th percentile of the time that a request takes, in mean times at an idle
  /// server of the usual speed.
  double slow = 0;
};

/// 240 requests a second in waves, each of 300 ms at an idle server of the
/// usual speed; a server takes longer the more it runs.
class replay {
 public:
  replay(int routers, std::uint64_t seed, bool by_work)
      : routers(routers), by_work(by_work), random(seed) {
    for (int each = 0; each < servers; ++each) {
      this->paces.push_back(0.7 + each / (servers - 1.0));
    }
    std::shuffle(this->paces.begin(), this->paces.end(), this->random);
    this->own.assign(static_cast<std::size_t>(routers),
                     std::vector<int>(servers, 0));
    this->told = this->own;
    this->running.assign(servers, 0);
  }

  outcome run() {
    for (int ms = 0; ms < end_ms; ++ms) {
      this->finish(ms);
      if (ms % report_interval_ms == 0) this->report();
      const double rate = 240 * (1 + 0.7 * std::sin(ms / 640.0));
      std::poisson_distribution<int> count(rate / 1000);
      for (int each = count(this->random); each > 0; --each) {
        this->send(ms, rate);
      }
      if (ms > 2000) this->measure();
    }
    std::sort(this->times.begin(), this->times.end());
    return {.imbalance = this->imbalances / this->measured,
            .slow = this->times[this->times.size() * 99 / 100]};
  }

 private:
  struct running_request {
    double end = 0;
    std::size_t server = 0;
    std::size_t router = 0;
    bool operator<(const running_request& other) const {
      return this->end > other.end;
    }
  };

  void finish(int ms) {
    while (!this->open.empty() && this->open.top().end <= ms) {
      const auto done = this->open.top();
      this->open.pop();
      --this->own[done.router][done.server];
      --this->running[done.server];
    }
  }

  void report() {
    for (std::size_t router = 0; router < this->own.size(); ++router) {
      for (std::size_t each = 0; each < servers; ++each) {
        this->told[router][each] =
            this->running[each] - this->own[router][each];
      }
    }
  }

  void send(int ms, double rate) {
    const auto router = this->random() % this->own.size();
    std::vector<server_candidate> candidates;
    for (std::size_t each = 0; each < servers; ++each) {
      const int own_requests = this->own[router][each];
      const int others = this->told[router][each];
      candidates.push_back({.own_requests = own_requests,
                            .other_requests = others,
                            .expected_work = double(own_requests + others),
                            .pace = this->paces[each],
                            .slots = slots});
    }
    const double arrivals =
        rate * report_interval_ms / 1000 * (this->routers - 1) / this->routers;
    const auto chosen =
        this->by_work
            ? choose_by_work(candidates, 0.25, no_backlog_limit, this->random(),
                             arrivals)
            : choose_server(candidates, 0.25, no_backlog_limit, this->random(),
                            view_error_of(this->routers));
    if (!chosen) return;
    const double load = double(this->running[*chosen]) / slots;
    const double time = this->paces[*chosen] * (1 + 3 * load);
    this->times.push_back(time);
    this->open.push(
        {.end = ms + 900 * time, .server = *chosen, .router = router});
    ++this->own[router][*chosen];
    ++this->running[*chosen];
  }

  void measure() {
    double sum = 0;
    double most = 0;
    for (std::size_t each = 0; each < servers; ++each) {
      const double load = this->running[each] * this->paces[each];
      sum += load;
      most = std::max(most, load);
    }
    if (sum == 0) return;
    this->imbalances += most / (sum / servers);
    ++this->measured;
  }

  int routers;
  bool by_work;
  std::mt19937_64 random;
  std::vector<double> paces;
  /// By router and server.
  std::vector<std::vector<int>> own;
  std::vector<std::vector<int>> told;
  std::vector<int> running;
  std::priority_queue<running_request> open;
  std::vector<double> times;
  double imbalances = 0;
  int measured = 0;
};

class server_choice_replay_test : public testing::TestWithParam<int> {};

// Guards against servers that are overrun in turn while others are idle, and
// against slow servers that get as many requests as fast ones.
TEST_P(server_choice_replay_test, work_is_even_though_figures_are_old) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    const auto before = replay(GetParam(), seed, false).run();
    const auto after = replay(GetParam(), seed, true).run();
    RecordProperty("imbalance_before", std::to_string(before.imbalance));
    RecordProperty("imbalance_after", std::to_string(after.imbalance));
    RecordProperty("slow_before", std::to_string(before.slow));
    RecordProperty("slow_after", std::to_string(after.slow));
    EXPECT_LT(after.imbalance, before.imbalance);
    EXPECT_LT(after.slow, before.slow);
  }
}

INSTANTIATE_TEST_SUITE_P(routers, server_choice_replay_test,
                         testing::Values(8, 31, 100));

}  // namespace
