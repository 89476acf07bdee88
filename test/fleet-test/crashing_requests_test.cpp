#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

constexpr int routers = 3;
constexpr int workers = 2;
constexpr int requests = 5;
constexpr int rounds = 14;
constexpr milliseconds between_rounds{1500};
constexpr milliseconds run_before_crash{100};
/// A worker is back after this under a new id.
constexpr milliseconds until_back{1000};
/// One router at a time is suspended.
constexpr milliseconds between_suspensions{60};
constexpr milliseconds suspended_for{40};
/// What the rule allows of one request.
constexpr std::size_t crash_limit = 3;
constexpr milliseconds unlimited_for{4000};
constexpr int most_late_sends = 3;

/// A fleet whose model workers end under each of several requests.
class crashing_requests_test : public testing::Test {
 protected:
  crashing_requests_test() : fleet(routers, workers, 1, workers) {
    this->fleet.crash_servers_on("poison", true, run_before_crash);
  }

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    this->restarts = std::thread([this] { this->restart_ended(); });
    this->suspensions = std::thread([this] { this->suspend_routers(); });
  }

  void TearDown() override {
    this->over = true;
    if (this->restarts.joinable()) this->restarts.join();
    if (this->suspensions.joinable()) this->suspensions.join();
  }

  void restart_ended() {
    std::array<std::thread, workers> started;
    std::array<std::atomic<bool>, workers> starting{};
    int number = 0;
    while (!this->over) {
      for (int each = 1; each <= workers; ++each) {
        const auto index = static_cast<std::size_t>(each - 1);
        if (starting[index]) continue;
        if (this->fleet[numbered("worker", each)].is_running()) continue;
        starting[index] = true;
        std::this_thread::sleep_for(until_back);
        this->fleet.replace_worker(each, numbered("i-new", ++number));
        this->fleet.await_standin(numbered("worker", each));
        starting[index] = false;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  void suspend_routers() {
    int next = 0;
    while (!this->over) {
      const auto planner = this->fleet.planner();
      for (int each = 0; each < 10 && !this->over; ++each) {
        next = 1 + next % routers;
        const auto name = numbered("router", next);
        if (name == planner) continue;
        this->fleet[name].signal(SIGSTOP);
        std::this_thread::sleep_for(suspended_for);
        this->fleet[name].signal(SIGCONT);
        std::this_thread::sleep_for(between_suspensions - suspended_for);
      }
    }
  }

  /// Sends all requests at the same moment, each to another router than in the
  /// round before.
  void send_all(int round) {
    std::vector<std::thread> callers;
    callers.reserve(requests);
    for (int each = 0; each < requests; ++each) {
      callers.emplace_back([this, each, round] {
        const auto body = numbered("poison", each);
        this->fleet.raw(1 + (each + round) % routers,
                        "POST /stream/x HTTP/1.1\r\nHost: valves.example\r\n"
                        "Connection: close\r\nBoragehill-Attempt-Id: " +
                            numbered("request-" + std::to_string(each), round) +
                            "\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
      });
    }
    for (auto& each : callers) each.join();
  }

  /// \return When these events happened, by request.
  static std::map<std::string, std::vector<time_point>> by_request(
      const std::vector<invariants::service_event>& events) {
    std::map<std::string, std::vector<time_point>> times;
    for (const auto& each : events) {
      if (!each.attempt.starts_with("request-")) continue;
      times[each.attempt.substr(0, each.attempt.rfind('-'))].push_back(each.at);
    }
    for (auto& [request, found] : times) std::ranges::sort(found);
    return times;
  }

  small_fleet fleet;
  std::atomic<bool> over = false;
  std::thread restarts;
  std::thread suspensions;
};

// Guards against a request that reaches servers again and again after it has
// crashed three, since the crashes of others in the same moments hide its own.
TEST_F(crashing_requests_test, each_of_five_reaches_few_servers_after_three) {
  for (int round = 0; round < rounds; ++round) {
    const auto next = std::chrono::steady_clock::now() + between_rounds;
    this->send_all(round);
    std::this_thread::sleep_until(next);
  }
  const auto crashes = by_request(this->fleet.logged_crashes());
  auto sends = by_request(this->fleet.logged_arrivals());
  ASSERT_FALSE(crashes.empty());
  for (const auto& [request, ended] : crashes) {
    RecordProperty(request + "_ended", std::to_string(ended.size()));
    RecordProperty(request + "_sent", std::to_string(sends[request].size()));
    if (ended.size() < crash_limit) continue;
    const auto limited_from = ended[crash_limit - 1] + unlimited_for;
    const auto late = std::ranges::count_if(
        sends[request], [&](time_point at) { return at > limited_from; });
    EXPECT_LE(late, most_late_sends) << request;
  }
}

}  // namespace
}  // namespace boragehill::fleet_test
