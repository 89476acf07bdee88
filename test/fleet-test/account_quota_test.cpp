#include <chrono>
#include <gtest/gtest.h>
#include <httplib.h>
#include <optional>
#include <string>
#include <thread>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int routers = 3;
/// A request costs 1,000 tokens: 4 a second. In a window of 8 s the quota's
/// bound is (4,000 x 8 + 4,000) x 1.1 + 17,000 tokens.
constexpr auto accounts = R"([
    {"name":"small","apiKeys":["small-key"],"unit":"tokens",
     "plainTokens":1000,"ratePerS":4000,"burst":4000},
    {"name":"free","apiKeys":["free-key"],"unit":"tokens"}])";
constexpr milliseconds window{8000};
constexpr int most_in_window = 56;

class account_quota_test : public testing::Test {
 protected:
  account_quota_test() : fleet(routers, 1, 1, 1) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    this->fleet.set_accounts(accounts);
    this->fleet.configure(100, "/plain/");
    ASSERT_TRUE(this->fleet.wait_for_catalog(100));
  }

  httplib::Result call(int router, const std::string& key) {
    const auto address = this->fleet.caller_address(router);
    httplib::Client to(address.address, address.port);
    return to.Post(
        "/plain/x",
        {{"Host", "valves.example"},
         {"Authorization", "Bearer " + key},
         {"Boragehill-Attempt-Id", "call-" + std::to_string(++this->calls)}},
        "which spool?", "text/plain");
  }

  /// Calls all routers in turn, 50 times a second.
  /// \return How many were served.
  int served_in(milliseconds time) {
    int served = 0;
    const auto until = steady_clock::now() + time;
    while (steady_clock::now() < until) {
      const auto answer = this->call(1 + this->calls % routers, "small-key");
      if (answer && answer->status == 200) ++served;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return served;
  }

  small_fleet fleet;
  int calls = 0;
};

// Guards against a quota that each router applies for itself.
TEST_F(account_quota_test, holds_over_all_routers_together) {
  const int served = this->served_in(window);
  EXPECT_LE(served, most_in_window);
  // The rate and the burst alone.
  EXPECT_GE(served, 32);
}

TEST_F(account_quota_test, rejects_with_a_retry_after_and_runs_nothing) {
  std::optional<httplib::Response> rejected;
  for (int each = 0; each < 100; ++each) {
    auto answer = this->call(1, "small-key");
    ASSERT_TRUE(answer);
    if (answer->status == 200) continue;
    rejected = *answer;
    break;
  }
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->status, 429);
  EXPECT_GT(std::stod(rejected->get_header_value("Retry-After")), 0);
  EXPECT_EQ(rejected->body.substr(0, 4), "2011");
  const auto free = this->call(1, "free-key");
  ASSERT_TRUE(free);
  EXPECT_EQ(free->status, 200);
}

// Guards against routers that spend grants of two planners, or their shares and
// grants at once.
TEST_F(account_quota_test, holds_while_the_planner_is_killed) {
  const auto planner = this->fleet.planner();
  std::thread kill([&] {
    std::this_thread::sleep_for(milliseconds(1500));
    this->fleet[planner].kill();
  });
  const int served = this->served_in(window);
  kill.join();
  EXPECT_LE(served, most_in_window);
  EXPECT_GE(served, 12);
}

}  // namespace
}  // namespace boragehill::fleet_test
