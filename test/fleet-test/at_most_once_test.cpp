#include <atomic>
#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "fleet-test/small_fleet.hpp"
#include "process-test/parallel.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

/// Kills routers and plain servers in turn until it is destroyed, each a moment
/// after the one before is back.
class killer {
 public:
  killer(small_fleet& fleet, int routers, int plains)
      : fleet(fleet), routers(routers), plains(plains), thread([this] {
          for (int round = 0; !this->over; ++round) this->kill_next(round);
        }) {}

  ~killer() {
    this->over = true;
    this->thread.join();
  }

 private:
  void kill_next(int round) {
    constexpr milliseconds pause{120};
    std::this_thread::sleep_for(pause);
    if (round % 2 == 0) {
      const int plain = 1 + round / 2 % this->plains;
      this->fleet.replace_plain(plain, "i-life-" + std::to_string(round));
      return;
    }
    const int router = 1 + round / 2 % this->routers;
    auto& process = this->fleet[numbered("router", router)];
    process.kill();
    process.start();
    this->fleet.wait_until_ready(router, milliseconds(3000));
  }

  small_fleet& fleet;
  int routers;
  int plains;
  std::atomic<bool> over = false;
  std::thread thread;
};

TEST(at_most_once_test, an_order_holds_while_routers_and_servers_die) {
  // Callers order manifolds while routers and servers are killed one after the
  // other. A doubled order ships two that nobody can return; one that was
  // refused as "not run" is ordered anew by its caller, so it must not have
  // run.
  constexpr int callers = 8;
  constexpr int orders = 400;
  small_fleet fleet(2, 1, 3, 1);
  ASSERT_TRUE(fleet.start());
  std::mutex mutex;
  std::map<std::string, int> statuses;
  {
    const killer kills(fleet, 2, 3);
    process_test::in_parallel(callers, orders, [&](int each) {
      const auto attempt = "order-" + std::to_string(each);
      const auto answer = fleet.call(1 + each % 2, attempt, {});
      std::this_thread::sleep_for(milliseconds(20));
      const std::scoped_lock lock(mutex);
      statuses[attempt] = answer ? answer->status : 0;
    });
  }
  const auto runs = fleet.all_runs();
  int answered = 0;
  for (const auto& [attempt, status] : statuses) {
    const auto found = runs.find(attempt);
    const int count = found == runs.end() ? 0 : found->second;
    EXPECT_LE(count, 1) << attempt;
    if (status == 503) {
      EXPECT_EQ(count, 0) << attempt;
    }
    if (status != 200) continue;
    EXPECT_EQ(count, 1) << attempt;
    ++answered;
  }
  EXPECT_GT(answered, orders / 2);
}

}  // namespace
}  // namespace boragehill::fleet_test
