#include <atomic>
#include <chrono>
#include <cstdio>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "invariants/attempt_runs_at_most_once.hpp"
#include "process-test/caller.hpp"
#include "process-test/cluster.hpp"
#include "process-test/parallel.hpp"
#include "process-test/wait_for.hpp"

namespace boragehill::process_test {
namespace {

using std::chrono::milliseconds;

/// Two models with one home: one is made warm, one stays cold.
struct home_pair {
  int home = 0;
  std::string warm;
  std::string cold;
};

home_pair models_of_one_home(cluster& own, int models) {
  std::map<int, std::string> seen;
  for (int i = 1; i <= models; ++i) {
    const std::string model = "model-" + std::to_string(i);
    const int home = own.home_of("model:" + model);
    const auto [found, is_new] = seen.try_emplace(home, model);
    if (!is_new) return {home, found->second, model};
  }
  return {};
}

// An entry VM dies while it is the home of a model that forty callers of the
// other router wait for. They asked the dead router for permits; unless the
// entry router asks the next home in time, they hang until their deadline.
TEST(home_test, waiting_requests_end_in_time_when_their_home_dies) {
  constexpr int requests = 40;
  constexpr int models = 4;
  cluster own({.models = models, .weight_flags = {"--load_ms", "3000"}});
  ASSERT_TRUE(own.start());
  const home_pair pair = models_of_one_home(own, models);
  ASSERT_GT(pair.home, 0);
  const int entry = own.callers(3 - pair.home);
  const call warm{.body = prompt(pair.warm, "warm", false, 2)};
  ASSERT_EQ(make_call(entry, warm).status, 200);
  std::vector<reply> replies(requests);
  std::vector<std::string> bodies(requests);
  std::thread waiting([&] {
    in_parallel(requests, requests, [&](int i) {
      bodies[i] = prompt(pair.cold, std::to_string(i), i % 2 == 0);
      replies[i] = make_call(
          entry, {.body = bodies[i], .deadline = milliseconds(15000)});
    });
  });
  std::this_thread::sleep_for(milliseconds(1000));
  own["router-" + std::to_string(pair.home)].kill();
  const auto killed = std::chrono::steady_clock::now();
  const reply next = make_call(entry, warm);
  const double gap = ms_since(killed);
  EXPECT_EQ(next.status, 200) << next.body;
  waiting.join();
  int answered = 0;
  for (int i = 0; i < requests; ++i) {
    EXPECT_LT(replies[i].took.count(), 16000);
    if (is_whole_answer(bodies[i], replies[i])) ++answered;
    EXPECT_TRUE(is_whole_answer(bodies[i], replies[i]) ||
                !replies[i].ran.empty())
        << replies[i].status << replies[i].body;
  }
  EXPECT_TRUE(invariants::attempt_runs_at_most_once(own.counts("by_attempt")));
  EXPECT_EQ(own.most_replicas(pair.cold), 1);
  std::printf("home killed: next permit after %.0f ms, %d of %d answered\n",
              gap, answered, requests);
}

// A planned stop of an entry VM in the rush: its balancer sees /readyz fail
// and sends new callers elsewhere, but those inside must get their answers.
// The listener must not close before the balancer has had time to look.
TEST(home_test, a_planned_stop_cuts_off_no_request) {
  constexpr int requests = 300;
  cluster own({.models = 2, .engine_flags = {"--slots", "16"}});
  ASSERT_TRUE(own.start());
  std::atomic<bool> first_is_ready = true;
  std::atomic<bool> is_over = false;
  std::thread balancer([&] {
    while (!is_over) {
      first_is_ready = own.is_ready(1);
      std::this_thread::sleep_for(milliseconds(20));
    }
  });
  std::atomic<int> begun = 0;
  std::atomic<bool> went = false;
  std::thread stopper([&] {
    while (begun < requests / 3) std::this_thread::sleep_for(milliseconds(5));
    went = own["router-1"].stop();
  });
  std::vector<reply> replies(requests);
  std::vector<std::string> bodies(requests);
  std::vector<int> routers(requests);
  in_parallel(24, requests, [&](int i) {
    bodies[i] = prompt("model-" + std::to_string(1 + i % 2), std::to_string(i),
                       i % 4 < 2, 60);
    ++begun;
    routers[i] = first_is_ready ? 1 + i % 2 : 2;
    replies[i] = make_call(own.callers(routers[i]), {.body = bodies[i]});
  });
  stopper.join();
  is_over = true;
  balancer.join();
  int by_first = 0;
  for (int i = 0; i < requests; ++i) {
    if (routers[i] == 1) ++by_first;
    EXPECT_TRUE(is_whole_answer(bodies[i], replies[i]))
        << i << " router " << routers[i] << ": " << replies[i].status << " "
        << replies[i].is_unconnected << replies[i].body;
  }
  EXPECT_TRUE(went);
  std::printf("planned stop: %d of %d requests went to the stopped router\n",
              by_first, requests);
}

}  // namespace
}  // namespace boragehill::process_test
