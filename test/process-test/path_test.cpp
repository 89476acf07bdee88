#include <chrono>
#include <cstdio>
#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "invariants/attempt_runs_at_most_once.hpp"
#include "process-test/caller.hpp"
#include "process-test/cluster.hpp"
#include "process-test/parallel.hpp"
#include "process-test/wait_for.hpp"

namespace boragehill::process_test {
namespace {

constexpr std::uint64_t engine_bytes = 160'000'000'000;

void expect_memory_kept(cluster& own, int engines) {
  for (int i = 1; i <= engines; ++i) {
    const Json::Value truth = own.truth("engine-" + std::to_string(i));
    EXPECT_LE(truth["max_held_bytes"].asUInt64(), engine_bytes);
    EXPECT_EQ(truth["overcommit_attempts"].asUInt(), 0u);
  }
}

TEST(path_test, answers_a_burst_for_five_cold_models_over_two_routers) {
  constexpr int models = 5;
  constexpr int requests = 200;
  cluster own({.engines = 3, .models = models});
  ASSERT_TRUE(own.start());
  std::vector<reply> replies(requests);
  std::vector<std::string> bodies(requests);
  const auto began = std::chrono::steady_clock::now();
  in_parallel(requests, requests, [&](int i) {
    bodies[i] = prompt("model-" + std::to_string(1 + i % models),
                       "valve " + std::to_string(i), i % 2 == 0);
    replies[i] = make_call(own.callers(1 + i / 2 % 2), {.body = bodies[i]});
  });
  const double all = ms_since(began);
  std::vector<double> took;
  for (int i = 0; i < requests; ++i) {
    EXPECT_TRUE(is_whole_answer(bodies[i], replies[i]))
        << i << ": " << replies[i].status << " " << replies[i].body;
    took.push_back(replies[i].took.count());
  }
  for (int i = 1; i <= models; ++i) {
    EXPECT_EQ(own.most_replicas("model-" + std::to_string(i)), 1);
  }
  EXPECT_TRUE(invariants::attempt_runs_at_most_once(own.counts("by_attempt")));
  EXPECT_TRUE(invariants::attempt_runs_at_most_once(own.counts("by_digest")));
  expect_memory_kept(own, 3);
  std::printf("burst: %d cold requests in %.0f ms, p50 %.0f ms, p99 %.0f ms\n",
              requests, all, quantile(took, 0.5), quantile(took, 0.99));
}

TEST(path_test, adds_little_to_a_warm_request) {
  constexpr int requests = 300;
  cluster own({.models = 1, .engine_flags = {"--tokens_per_s", "2000"}});
  ASSERT_TRUE(own.start());
  const auto body = [](int i) {
    return prompt("model-1", std::to_string(i), false, 4);
  };
  ASSERT_EQ(make_call(own.callers(1), {.body = body(-1)}).status, 200);
  const bool on_first = own.truth("engine-1")["started"].asInt() > 0;
  const int engine = own.port(on_first ? "engine-1" : "engine-2");
  std::vector<double> routed;
  std::vector<double> direct;
  for (int i = 0; i < requests; ++i) {
    const reply through = make_call(own.callers(1 + i % 2), {.body = body(i)});
    ASSERT_TRUE(is_whole_answer(body(i), through)) << through.body;
    routed.push_back(through.took.count());
    direct.push_back(make_call(engine, {.body = body(i)}).took.count());
  }
  std::printf("warm: routed p50 %.2f p99 %.2f ms, direct p50 %.2f p99 %.2f\n",
              quantile(routed, 0.5), quantile(routed, 0.99),
              quantile(direct, 0.5), quantile(direct, 0.99));
  for (const char* name : {"router-1", "router-2", "server-1", "server-2"}) {
    const long kilobytes = own[name].status_of("VmRSS");
    std::printf("%s: %ld threads, %ld kB resident\n", name,
                own[name].status_of("Threads"), kilobytes);
    EXPECT_LT(kilobytes, 128 * 1024);
  }
  EXPECT_LT(quantile(routed, 0.5), quantile(direct, 0.5) + 100);
}

}  // namespace
}  // namespace boragehill::process_test
