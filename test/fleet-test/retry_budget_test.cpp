#include <atomic>
#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"
#include "invariants/retries_within_budget.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::steady_clock;

constexpr auto every_run_fails = R"({"kind":"fail_runs","count":1000000})";
constexpr auto service = "sheets";
/// Between two requests of a caller.
constexpr milliseconds pace{100};

/// Callers that send one request after the other to one router each, and keep a
/// record of what they sent.
class paced_callers {
 public:
  explicit paced_callers(small_fleet& fleet) : fleet(fleet) {}
  ~paced_callers() { this->stop(); }

  /// Starts a caller that looks things up.
  void look_up_at(int router) {
    this->threads.emplace_back([this, router, number = this->threads.size()] {
      this->run(router, "l" + std::to_string(number) + "-", {}, "/lookup/x");
    });
  }

  /// Starts a caller that asks a model.
  void ask_at(int router, const std::string& model) {
    this->threads.emplace_back([this, router, model,
                                number = this->threads.size()] {
      this->run(router, "m" + std::to_string(number) + "-", model, "/stream/x");
    });
  }

  void stop() {
    this->stopping = true;
    for (auto& each : this->threads) {
      if (each.joinable()) each.join();
    }
  }

  /// \return The lookups; called after `stop`.
  const std::vector<invariants::service_event>& lookups() const {
    return this->records;
  }

 private:
  void run(int router, const std::string& name, const std::string& model,
           const std::string& path) {
    for (int each = 0; !this->stopping; ++each) {
      const auto attempt = name + std::to_string(each);
      if (model.empty()) {
        const std::scoped_lock lock(this->mutex);
        this->records.push_back({service, attempt, steady_clock::now()});
      }
      this->fleet.call(router, attempt, model, path);
      std::this_thread::sleep_for(pace);
    }
  }

  small_fleet& fleet;
  std::mutex mutex;
  std::vector<invariants::service_event> records;
  std::atomic<bool> stopping = false;
  std::vector<std::thread> threads;
};

/// A fleet whose plain servers fail each run, so that each lookup wants a
/// retry.
class retry_budget_test : public testing::Test {
 protected:
  static constexpr int routers = 6;
  static constexpr int plains = 3;

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    for (int each = 1; each <= plains; ++each) {
      this->fleet.fault(numbered("plain", each), every_run_fails);
    }
  }

  /// Lets each router tell the planner of itself.
  void ask_everywhere() {
    for (int each = 1; each <= routers; ++each) {
      this->callers.ask_at(each, "model-1");
    }
  }

  void look_up_everywhere() {
    for (int each = 1; each <= routers; ++each) {
      this->callers.look_up_at(each);
      this->callers.look_up_at(each);
    }
  }

  /// Checks all that was sent and arrived against the fleet's own settings.
  void expect_within_budget() {
    this->callers.stop();
    for (const auto& each : invariants::worst_retry_windows(
             this->callers.lookups(), this->fleet.logged_arrivals(),
             small_fleet::retry_bound)) {
      RecordProperty("retries_at_" + each.service,
                     std::to_string(each.retries));
      RecordProperty("allowed_at_" + each.service,
                     std::to_string(each.allowed));
      EXPECT_LE(static_cast<double>(each.retries), each.allowed)
          << each.service;
    }
  }

  small_fleet fleet{routers, 2, plains, 2};
  paced_callers callers{this->fleet};
};

// Guards against routers that get a new budget with each start.
TEST_F(retry_budget_test, is_kept_over_all_lives_of_all_routers) {
  this->ask_everywhere();
  this->look_up_everywhere();
  for (int round = 0; round < 3; ++round) {
    for (int each = 1; each <= routers; ++each) {
      std::this_thread::sleep_for(milliseconds(600));
      this->fleet[numbered("router", each)].kill();
      this->fleet[numbered("router", each)].start();
    }
  }
  this->expect_within_budget();
}

// Guards against routers that guess how many share the budget.
TEST_F(retry_budget_test, is_shared_by_routers_without_requests_for_models) {
  this->look_up_everywhere();
  std::this_thread::sleep_for(milliseconds(4000));
  this->expect_within_budget();
}

// Guards against a new planner that knows only some of the routers yet.
TEST_F(retry_budget_test, is_kept_when_a_new_planner_knows_few_routers) {
  this->ask_everywhere();
  std::this_thread::sleep_for(milliseconds(500));
  for (int each = 1; each <= routers; ++each) this->callers.look_up_at(each);
  std::this_thread::sleep_for(milliseconds(1500));
  const auto planner = this->fleet.planner();
  ASSERT_FALSE(planner.empty());
  const int next = planner == "router-1" ? 2 : 1;
  const auto signal_others = [&](int number) {
    for (int each = 1; each <= routers; ++each) {
      const auto name = numbered("router", each);
      if (each != next && name != planner) this->fleet[name].signal(number);
    }
  };
  signal_others(SIGSTOP);
  this->fleet[planner].kill();
  const auto limit = steady_clock::now() + std::chrono::seconds(5);
  while (this->fleet.planner() != numbered("router", next)) {
    ASSERT_LT(steady_clock::now(), limit);
    std::this_thread::sleep_for(milliseconds(20));
  }
  for (int each = 0; each < 6; ++each) this->callers.look_up_at(next);
  std::this_thread::sleep_for(milliseconds(700));
  signal_others(SIGCONT);
  std::this_thread::sleep_for(milliseconds(500));
  this->expect_within_budget();
}

}  // namespace
}  // namespace boragehill::fleet_test
