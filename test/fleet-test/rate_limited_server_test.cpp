#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto no_fault = R"({"kind":"none"})";
/// From the first announcement of a limit until it has to be kept.
constexpr milliseconds contact_time{3000};
/// Requests of a router count from so long after it passed on an announcement.
constexpr milliseconds told_time{500};
constexpr milliseconds window{4000};
constexpr double tolerance = 1.5;
constexpr int extra = 5;

/// Callers that send to one router each, one request after the other.
class steady_callers {
 public:
  steady_callers(small_fleet& fleet, int routers, int callers_each) {
    for (int router = 1; router <= routers; ++router) {
      for (int each = 0; each < callers_each; ++each) {
        this->threads.emplace_back(
            [this, &fleet, router, each] { this->run(fleet, router, each); });
      }
    }
  }

  ~steady_callers() { this->stop(); }

  void stop() {
    this->stopping = true;
    for (auto& each : this->threads) {
      if (each.joinable()) each.join();
    }
  }

  /// \return When a router first passed a limit on.
  std::map<int, steady_clock::time_point> told() {
    const std::scoped_lock lock(this->mutex);
    return this->told_at;
  }

  /// \return The router that an attempt was sent to.
  static int router_of(const std::string& attempt) {
    return std::stoi(attempt.substr(1));
  }

  int served() const { return this->successes; }

 private:
  void run(small_fleet& fleet, int router, int caller) {
    for (int each = 0; !this->stopping; ++each) {
      const auto answer =
          fleet.call(router,
                     "r" + std::to_string(router) + "-" +
                         std::to_string(caller) + "-" + std::to_string(each),
                     {});
      if (!answer) continue;
      if (answer->status == 200) ++this->successes;
      if (answer->has_header("Server-Limit")) this->note_told(router);
      if (answer->status != 200) {
        std::this_thread::sleep_for(milliseconds(100));
      }
    }
  }

  void note_told(int router) {
    const std::scoped_lock lock(this->mutex);
    this->told_at.try_emplace(router, steady_clock::now());
  }

  std::mutex mutex;
  std::map<int, steady_clock::time_point> told_at;
  std::atomic<bool> stopping = false;
  std::atomic<int> successes = 0;
  std::vector<std::thread> threads;
};

/// \return The most requests in any window from routers that had been told.
std::size_t most_in_a_window(
    const small_fleet& fleet,
    const std::map<int, steady_clock::time_point>& told,
    steady_clock::time_point announced) {
  std::vector<steady_clock::time_point> counted;
  for (const auto& each : fleet.logged_runs()) {
    if (!each.attempt.starts_with("r")) continue;
    const auto found = told.find(steady_callers::router_of(each.attempt));
    const bool counts = found != told.end() &&
                        each.at >= found->second + told_time &&
                        each.at >= announced + contact_time;
    if (counts) counted.push_back(each.at);
  }
  std::sort(counted.begin(), counted.end());
  std::size_t most = 0;
  for (auto first = counted.begin(); first != counted.end(); ++first) {
    const auto last = std::lower_bound(first, counted.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

// Guards against routers that together send a server more than it can take.
TEST(rate_limited_server_test, gets_its_limit_from_all_routers_together) {
  constexpr int routers = 6;
  for (const double limit : {1.0, 2.5}) {
    small_fleet fleet(routers, 1, 1, 1);
    ASSERT_TRUE(fleet.start());
    steady_callers callers(fleet, routers, 2);
    std::this_thread::sleep_for(milliseconds(500));
    const auto announced = steady_clock::now();
    fleet.fault("plain-1", R"({"kind":"limited","per_s":")" +
                               std::to_string(limit) + "\"}");
    std::this_thread::sleep_for(contact_time + 2 * window);
    callers.stop();
    const auto most = most_in_a_window(fleet, callers.told(), announced);
    const auto allowed = tolerance * limit * window.count() / 1000 + extra;
    EXPECT_LE(static_cast<double>(most), allowed) << limit << " a second";
    RecordProperty("most_at_" + std::to_string(limit), std::to_string(most));
    EXPECT_EQ(callers.told().size(), std::size_t{routers});
  }
}

// Guards against a limit that starves callers, or outlives its announcement.
TEST(rate_limited_server_test, is_used_up_to_its_limit_and_fully_after_it) {
  small_fleet fleet(3, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  steady_callers callers(fleet, 3, 2);
  constexpr int per_second = 5;
  fleet.fault("plain-1", R"({"kind":"limited","per_s":"5"})");
  std::this_thread::sleep_for(milliseconds(1000));
  int before = callers.served();
  std::this_thread::sleep_for(window);
  EXPECT_GE(callers.served() - before, per_second * 4 / 2);
  fleet.fault("plain-1", no_fault);
  std::this_thread::sleep_for(milliseconds(1500));
  before = callers.served();
  std::this_thread::sleep_for(milliseconds(1000));
  EXPECT_GE(callers.served() - before, 10 * per_second);
}

// Guards against a limit that bars callers although other servers have room.
TEST(rate_limited_server_test, sends_its_callers_to_other_servers) {
  small_fleet fleet(2, 1, 2, 1);
  ASSERT_TRUE(fleet.start());
  fleet.fault("plain-1", R"({"kind":"limited","per_s":"1"})");
  for (int each = 0; each < 60; ++each) {
    const auto begin = steady_clock::now();
    const auto answer =
        fleet.call(1 + each % 2, "r0-" + std::to_string(each), {});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200) << answer->body;
    EXPECT_LT(steady_clock::now() - begin, milliseconds(1000));
  }
}

}  // namespace
}  // namespace boragehill::fleet_test
