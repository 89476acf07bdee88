#include <atomic>
#include <chrono>
#include <cstdio>
#include <gtest/gtest.h>
#include <mutex>
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
using std::chrono::seconds;

cluster_shape replicated(int engines) {
  return {.engines = engines,
          .models = 1,
          .replicas = engines,
          .max_replicas = engines,
          .warm = engines};
}

/// Callers that send one request after the other until told to end.
class steady_callers {
 public:
  steady_callers(const cluster& target, int threads, unsigned tokens) {
    for (int i = 0; i < threads; ++i) {
      this->threads.emplace_back(
          [this, &target, i, tokens] { this->run(target, i, tokens); });
    }
  }
  ~steady_callers() { this->end(); }

  void end() {
    this->is_over = true;
    for (std::thread& one : this->threads) {
      if (one.joinable()) one.join();
    }
  }

  int answered = 0;
  std::vector<reply> refused;

 private:
  void run(const cluster& target, int number, unsigned tokens) {
    for (int i = 0; !this->is_over; ++i) {
      const std::string body =
          prompt("model-1", std::to_string(number) + "-" + std::to_string(i),
                 number % 2 == 0, tokens);
      const reply got = make_call(target.callers(1 + i % 2),
                                  {.body = body, .deadline = seconds(15)});
      const std::scoped_lock lock(this->mutex);
      if (is_whole_answer(body, got)) {
        ++this->answered;
      } else {
        this->refused.push_back(got);
      }
    }
  }

  std::atomic<bool> is_over = false;
  std::mutex mutex;
  std::vector<std::thread> threads;
};

// A VM pauses for longer than every timeout, its agent with requests inside,
// and wakes believing that nothing happened. Its callers are served by the
// other replica; what the agent still holds must not run a second time.
TEST(backend_test, a_paused_agent_runs_nothing_twice_when_it_wakes) {
  cluster own(replicated(2));
  ASSERT_TRUE(own.start());
  steady_callers load(own, 12, 40);
  ASSERT_TRUE(wait_for(seconds(20), [&own] {
    return own.truth("engine-1")["started"].asInt() > 5;
  }));
  own["server-1"].signal(SIGSTOP);
  own["server-service"].signal(SIGSTOP);
  const call order{.path = "/services/sheets/orders",
                   .body = "{}",
                   .key = "paused",
                   .deadline = milliseconds(4000)};
  const reply frozen_order = make_call(own.callers(1), order);
  EXPECT_NE(frozen_order.status, 0);
  EXPECT_LT(frozen_order.took.count(), 5000);
  std::this_thread::sleep_for(seconds(8));
  own["server-1"].signal(SIGCONT);
  own["server-service"].signal(SIGCONT);
  std::this_thread::sleep_for(seconds(4));
  load.end();
  int late = 0;
  for (const reply& got : load.refused) {
    EXPECT_FALSE(got.ran.empty()) << got.status << got.body;
    if (got.took > seconds(16)) ++late;
  }
  EXPECT_EQ(late, 0);
  EXPECT_TRUE(invariants::attempt_runs_at_most_once(own.counts("by_attempt")));
  if (frozen_order.ran == "no") {
    EXPECT_EQ(own.truth("service")["started"].asInt(), 0);
  }
  EXPECT_LE(own.truth("service")["started"].asInt(), 1);
  std::printf("agent paused: %d answered, %zu refused; order: %d %s %s\n",
              load.answered, load.refused.size(), frozen_order.status,
              frozen_order.name.c_str(), frozen_order.ran.c_str());
}

/// Starts engines again that a marked request has crashed, and counts.
class engine_keeper {
 public:
  engine_keeper(cluster& own, int engines) : owner(own) {
    for (int i = 1; i <= engines; ++i) {
      this->names.push_back("engine-" + std::to_string(i));
      own.fault(this->names.back(), mark);
    }
    this->worker = std::thread([this] { this->run(); });
  }
  ~engine_keeper() { this->end(); }

  void end() {
    this->is_over = true;
    if (this->worker.joinable()) this->worker.join();
  }

  std::atomic<int> crashes = 0;

 private:
  static constexpr const char* mark =
      R"({"kind":"crash_on","marker":"poison"})";

  void run() {
    while (!this->is_over) {
      for (const std::string& name : this->names) {
        if (this->owner[name].is_running()) continue;
        ++this->crashes;
        this->owner[name].start();
        wait_for(seconds(5), [&] {
          return make_call(this->owner.port(name),
                           {.path = "/standin/fault", .body = mark})
                     .status == 200;
        });
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  cluster& owner;
  std::vector<std::string> names;
  std::atomic<bool> is_over = false;
  std::thread worker;
};

// One foreman's request crashes every engine that runs it, and he sends it
// again and again through both entry VMs. Without a verdict the whole fleet
// goes down one engine after the other, and with it everybody's requests.
TEST(backend_test, a_request_that_crashes_engines_is_stopped_after_two) {
  constexpr int engines = 3;
  constexpr int convicted = 1009;
  cluster own(replicated(engines));
  ASSERT_TRUE(own.start());
  steady_callers innocent(own, 6, 20);
  ASSERT_TRUE(wait_for(seconds(20), [&own] {
    return own.truth("engine-1")["started"].asInt() > 0;
  }));
  engine_keeper keeper(own, engines);
  int refused_as_convicted = 0;
  for (int i = 0; i < 20; ++i) {
    const reply got = make_call(
        own.callers(1 + i % 2),
        {.body = prompt("model-1", "poison"), .deadline = seconds(8)});
    EXPECT_NE(got.status, 200);
    if (got.code == convicted) ++refused_as_convicted;
  }
  std::this_thread::sleep_for(seconds(3));
  innocent.end();
  keeper.end();
  EXPECT_LE(keeper.crashes, 2);
  EXPECT_GT(refused_as_convicted, 10);
  for (const reply& got : innocent.refused) {
    EXPECT_NE(got.code, convicted) << got.body;
  }
  std::printf(
      "poison: %d crashes, %d of 20 refused as convicted; innocent: "
      "%d answered, %zu not\n",
      keeper.crashes.load(), refused_as_convicted, innocent.answered,
      innocent.refused.size());
}

// The platform takes a VM back and lists it as leaving. Work that is still
// sent there afterwards dies with it; what runs there already must finish.
TEST(backend_test, a_leaving_vm_gets_no_new_work_and_cuts_none_off) {
  cluster own(replicated(2));
  ASSERT_TRUE(own.start());
  steady_callers load(own, 12, 100);
  const auto started = [&own] {
    return own.truth("engine-1")["started"].asInt();
  };
  ASSERT_TRUE(wait_for(seconds(20), [&] { return started() > 5; }));
  own.list_as("server-1", "leaving");
  const auto listed = std::chrono::steady_clock::now();
  int count = started();
  double last_new = 0;
  while (ms_since(listed) < 10000) {
    std::this_thread::sleep_for(milliseconds(20));
    const int now = started();
    if (now > count) last_new = ms_since(listed);
    count = now;
  }
  load.end();
  EXPECT_LT(last_new, 5000);
  for (const reply& got : load.refused) {
    ADD_FAILURE() << got.status << " " << got.ran << got.body;
  }
  std::printf("leaving VM: last new request after %.0f ms, %d answered\n",
              last_new, load.answered);
}

}  // namespace
}  // namespace boragehill::process_test
