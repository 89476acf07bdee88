#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <gtest/gtest.h>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "invariants/attempt_runs_at_most_once.hpp"
#include "invariants/revisions_rise.hpp"
#include "process-test/caller.hpp"
#include "process-test/cluster.hpp"
#include "process-test/wait_for.hpp"

namespace boragehill::process_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

call order(int number) {
  return {.path = "/services/sheets/orders",
          .body = "{\"manifold\":" + std::to_string(number) + "}",
          .key = "order-" + std::to_string(number),
          .deadline = milliseconds(5000)};
}

// The platform's table is down for ten seconds while four idle models are
// called for the first time. A wake that needed the table would refuse them
// all. Orders cannot be claimed meanwhile and must be refused without a run; a
// publish must not be accepted.
TEST(platform_test, models_wake_while_the_table_is_down) {
  constexpr int models = 4;
  cluster own({.models = models});
  ASSERT_TRUE(own.start());
  const std::uint64_t before = own.revision(1);
  own.fault("table", R"({"kind":"down"})");
  const auto down = std::chrono::steady_clock::now();
  int served = 0;
  for (int i = 1; i <= models; ++i) {
    const std::string body = prompt("model-" + std::to_string(i), "wake");
    if (is_whole_answer(body,
                        make_call(own.callers(1 + i % 2), {.body = body})))
      ++served;
  }
  EXPECT_EQ(served, models);
  const reply refused = make_call(own.callers(1), order(1));
  EXPECT_EQ(refused.name, "platform_down") << refused.status << refused.body;
  EXPECT_EQ(own.truth("service")["started"].asInt(), 0);
  EXPECT_EQ(own.publish(1, before, 1), 0u);
  std::this_thread::sleep_until(down + seconds(10));
  EXPECT_TRUE(own.is_ready(1) && own.is_ready(2));
  own.fault("table", R"({"kind":"none"})");
  std::printf("table down for %.0f ms: %d of %d models woke, order: %s\n",
              ms_since(down), served, models, refused.name.c_str());
  EXPECT_TRUE(wait_for(seconds(5), [&own] {
    return make_call(own.callers(1), order(1)).status == 200;
  }));
  EXPECT_TRUE(wait_for(
      seconds(5), [&own, before] { return own.publish(2, before, 2) > 0; }));
  EXPECT_TRUE(wait_for(seconds(10), [&own, before] {
    return own.revision(1) > before && own.revision(1) == own.revision(2);
  }));
  EXPECT_TRUE(invariants::attempt_runs_at_most_once(own.counts("by_digest")));
}

std::uint64_t published_revision(cluster& own, int router) {
  return own.admin_page(router, "profiles/assistant")["revision"].asUInt64();
}

/// Publishes as an operator does: reads, publishes, and notes what was
/// accepted.
std::vector<std::uint64_t> publish_often(cluster& own, int router, int times) {
  std::vector<std::uint64_t> accepted;
  for (int i = 0; i < times; ++i) {
    const std::uint64_t base = published_revision(own, router);
    const std::uint64_t made = own.publish(router, base, i % 50);
    if (made > 0) accepted.push_back(made);
  }
  return accepted;
}

// Two operators change one profile at the same time through two routers. One
// of each pair must lose; a lost write that was told to be accepted would
// leave its operator with a change that is nowhere in force.
TEST(platform_test, two_operators_race_and_every_accepted_change_stands) {
  constexpr int times = 100;
  cluster own({.routers = 3, .engines = 1, .models = 1});
  ASSERT_TRUE(own.start());
  std::atomic<bool> is_over = false;
  std::vector<std::uint64_t> in_force;
  std::thread watcher([&] {
    while (!is_over) in_force.push_back(own.revision(3));
  });
  std::vector<std::uint64_t> first;
  std::thread other([&] { first = publish_often(own, 1, times); });
  const auto second = publish_often(own, 2, times);
  other.join();
  EXPECT_TRUE(invariants::revisions_rise(first));
  EXPECT_TRUE(invariants::revisions_rise(second));
  std::set<std::uint64_t> accepted(first.begin(), first.end());
  accepted.insert(second.begin(), second.end());
  EXPECT_EQ(accepted.size(), first.size() + second.size());
  std::set<std::uint64_t> kept;
  const Json::Value rows = own.admin_page(3, "profiles/assistant/history");
  for (const auto& row : rows) {
    kept.insert(row["revision"].asUInt64());
  }
  EXPECT_TRUE(std::includes(kept.begin(), kept.end(), accepted.begin(),
                            accepted.end()));
  const auto everywhere = [&own](std::uint64_t revision) {
    return own.revision(1) == revision && own.revision(2) == revision &&
           own.revision(3) == revision;
  };
  EXPECT_TRUE(
      wait_for(seconds(10), [&] { return everywhere(*accepted.rbegin()); }));
  is_over = true;
  watcher.join();
  EXPECT_TRUE(invariants::revisions_rise(in_force));
  std::vector<double> took;
  for (int i = 0; i < 5; ++i) {
    const auto made = own.publish(1, published_revision(own, 1), i);
    const auto began = std::chrono::steady_clock::now();
    EXPECT_TRUE(wait_for(seconds(10), [&] { return everywhere(made); }));
    took.push_back(ms_since(began));
  }
  std::printf(
      "publishes: %zu of %d accepted; in force everywhere p50 %.0f ms, "
      "most %.0f ms\n",
      accepted.size(), 2 * times, quantile(took, 0.5), quantile(took, 1));
}

}  // namespace
}  // namespace boragehill::process_test
