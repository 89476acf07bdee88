#include <algorithm>
#include <chrono>
#include <csignal>
#include <deque>
#include <gtest/gtest.h>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"
#include "fleet-test/stream_caller.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

constexpr int stream_count = 12;
/// Streams take 1.2 s.
constexpr auto event_gap = R"({"kind":"slow_events","ms":150})";
constexpr milliseconds some_events{500};
constexpr milliseconds ready_within{5000};

/// Callers of resumable streams of model-1.
class stream_callers {
 public:
  explicit stream_callers(int count) {
    for (int each = 1; each <= count; ++each) {
      this->callers.emplace_back(numbered("stream", each), "model-1");
    }
  }

  ~stream_callers() { this->wait(); }

  /// Lets each caller whose stream isn't complete ask for it, or the rest.
  void call(const endpoint& router) {
    this->wait();
    for (auto& each : this->callers) {
      if (each.is_complete()) continue;
      this->threads.emplace_back([&each, router] { each.call(router); });
    }
  }

  void wait() {
    for (auto& each : this->threads) each.join();
    this->threads.clear();
  }

  const std::deque<stream_caller>& all() const { return this->callers; }

 private:
  std::deque<stream_caller> callers;
  std::vector<std::thread> threads;
};

bool is_whole(const stream_caller& caller) {
  static const std::vector<int> ids{1, 2, 3, 4, 5, 6, 7, 8};
  return caller.is_complete() && caller.event_ids() == ids;
}

int count_whole(const stream_callers& callers) {
  return static_cast<int>(
      std::count_if(callers.all().begin(), callers.all().end(), is_whole));
}

/// \return The streams with events of servers of more than one version.
std::vector<std::string> joined_streams(const small_fleet& fleet,
                                        const stream_callers& callers) {
  const auto writers = fleet.event_writers();
  std::vector<std::string> joined;
  for (const auto& stream : callers.all()) {
    std::set<std::string> versions;
    for (const auto& [attempt, software] : writers) {
      const auto first = attempt.substr(0, attempt.find('+'));
      if (first == stream.attempt())
        versions.insert(software.begin(), software.end());
    }
    if (versions.size() > 1) joined.push_back(stream.attempt());
  }
  return joined;
}

void slow_events(small_fleet& fleet, int workers) {
  for (int each = 1; each <= workers; ++each) {
    fleet.fault(numbered("worker", each), event_gap);
  }
}

/// A fleet whose first worker is killed under streams, while the second one has
/// their model and software of another version.
class broken_response_test : public testing::Test {
 protected:
  /// So few that the planner adds no further worker for them.
  static constexpr int few_streams = 4;

  explicit broken_response_test(int workers = 3)
      : workers(workers), fleet(1, workers, 1, 1), callers(few_streams) {}

  void play() {
    this->fleet.set_worker(1, "v1", "model-1");
    this->fleet.set_worker(2, "v2", "model-1");
    if (this->workers > 2) this->fleet.set_worker(3, "v1", {});
    ASSERT_TRUE(this->fleet.start());
    ASSERT_TRUE(this->fleet.wait_for_retries(1, few_streams, "assist"));
    slow_events(this->fleet, this->workers);
    this->callers.call(this->fleet.caller_address(1));
    std::this_thread::sleep_for(some_events);
    this->fleet["worker-1"].kill();
    this->callers.wait();
  }

  int workers;
  small_fleet fleet;
  stream_callers callers;
};

class last_of_its_version_test : public broken_response_test {
 protected:
  last_of_its_version_test() : broken_response_test(2) {}
};

// Guards against a response whose events come from servers of two software
// versions.
TEST_F(broken_response_test, goes_on_at_the_version_that_began_it) {
  this->play();
  EXPECT_EQ(joined_streams(this->fleet, this->callers),
            std::vector<std::string>());
  EXPECT_EQ(count_whole(this->callers), few_streams);
}

// Guards against the same where no server of its version is left.
TEST_F(last_of_its_version_test, joins_no_other_version) {
  this->play();
  EXPECT_EQ(joined_streams(this->fleet, this->callers),
            std::vector<std::string>());
}

/// A router that is killed under streams of two versions, and the other one.
struct killed_router {
  explicit killed_router(small_fleet& fleet, bool plans) {
    const bool first_plans = fleet.planner() == "router-1";
    this->killed = first_plans == plans ? 1 : 2;
    this->left = 3 - this->killed;
  }

  int killed = 0;
  int left = 0;
};

/// Streams of two versions, whose callers take them up again at another router.
class taken_up_stream_test : public testing::Test {
 protected:
  static constexpr int workers = 3;

  taken_up_stream_test() : fleet(2, workers, 1, 1), callers(stream_count) {}

  /// Begins streams at two workers of certain versions, beside an empty one.
  void begin(const std::string& first, const std::string& second,
             const std::string& empty) {
    this->fleet.set_worker(1, first, "model-1");
    this->fleet.set_worker(2, second, "model-1");
    this->fleet.set_worker(3, empty, {});
    ASSERT_TRUE(this->fleet.start());
    slow_events(this->fleet, workers);
  }

  /// Kills the router that plans, or the other one, and a worker if one is
  /// named, under the streams.
  void play(bool plans, const std::string& worker = {}) {
    const killed_router routers(this->fleet, plans);
    this->callers.call(this->fleet.caller_address(routers.killed));
    std::this_thread::sleep_for(some_events);
    if (!worker.empty()) this->fleet[worker].kill();
    this->fleet[numbered("router", routers.killed)].kill();
    this->callers.call(this->fleet.caller_address(routers.left));
    this->callers.wait();
  }

  /// Kills all routers under the streams and starts them again, some times.
  void kill_all_routers(int times) {
    this->callers.call(this->fleet.caller_address(1));
    for (int each = 0; each < times; ++each) {
      std::this_thread::sleep_for(some_events);
      for (const char* router : {"router-1", "router-2"}) {
        this->fleet[router].kill();
      }
      this->callers.wait();
      for (const char* router : {"router-1", "router-2"}) {
        this->fleet[router].start();
      }
      ASSERT_TRUE(this->fleet.wait_until_ready(1, ready_within));
      this->callers.call(this->fleet.caller_address(1));
    }
    // As callers that come back after a refusal.
    for (int tries = 0; tries < 3; ++tries) {
      this->callers.call(this->fleet.caller_address(1 + tries % 2));
    }
    this->callers.wait();
  }

  void expect_all_whole() {
    EXPECT_EQ(joined_streams(this->fleet, this->callers),
              std::vector<std::string>());
    EXPECT_EQ(count_whole(this->callers), stream_count);
  }

  small_fleet fleet;
  stream_callers callers;
};

// Guards against a stream that its caller takes up again at another software
// version.
TEST_F(taken_up_stream_test, goes_on_at_the_version_that_began_it) {
  this->begin("v1", "v2", "v2");
  this->play(false);
  this->expect_all_whole();
}

// Guards against the same where what the planner knew of the streams is lost.
TEST_F(taken_up_stream_test, goes_on_at_its_version_after_the_planners_loss) {
  this->begin("v1", "v2", "v2");
  this->play(true);
  this->expect_all_whole();
}

// Guards against the same where the only server of its version that is left has
// to load the model.
TEST_F(taken_up_stream_test, goes_on_where_its_version_has_to_load_the_model) {
  this->begin("v1", "v2", "v1");
  this->play(false, "worker-1");
  this->expect_all_whole();
}

// Guards against streams that nobody knows after all routers were killed.
TEST_F(taken_up_stream_test, goes_on_at_its_version_after_the_loss_of_all) {
  this->begin("v1", "v2", "v2");
  this->kill_all_routers(1);
  this->expect_all_whole();
}

// Guards against the same where the routers are killed again at once.
TEST_F(taken_up_stream_test, goes_on_at_its_version_after_two_losses_of_all) {
  this->begin("v1", "v2", "v2");
  this->kill_all_routers(2);
  this->expect_all_whole();
}

// Guards against the same with one version.
TEST_F(taken_up_stream_test, goes_on_after_the_loss_of_all_at_one_version) {
  this->begin("v1", "v1", "v1");
  this->kill_all_routers(1);
  this->expect_all_whole();
}

/// A planner that stood still while servers of another version joined and
/// streams began there at the other router, which is then lost.
class paused_planner_test : public taken_up_stream_test {
 protected:
  void SetUp() override {
    this->begin("v1", "v1", "v1");
    std::this_thread::sleep_for(history_time);
  }

  void play() {
    const killed_router routers(this->fleet, false);
    auto& planner = this->fleet[numbered("router", routers.left)];
    planner.signal(SIGSTOP);
    this->fleet["worker-2"].kill();
    this->fleet.set_worker(2, "v2", "model-1");
    this->fleet["worker-2"].start();
    std::this_thread::sleep_for(joined_within);
    slow_events(this->fleet, workers);
    this->callers.call(this->fleet.caller_address(routers.killed));
    std::this_thread::sleep_for(some_events);
    this->fleet[numbered("router", routers.killed)].kill();
    this->callers.call(this->fleet.caller_address(routers.left));
    std::this_thread::sleep_for(unread_for);
    planner.signal(SIGCONT);
    // As callers that come back after a refusal.
    constexpr int tries = 6;
    for (int each = 0; each < tries; ++each) {
      this->callers.wait();
      std::this_thread::sleep_for(some_events);
      this->callers.call(this->fleet.caller_address(routers.left));
    }
    this->callers.wait();
  }

  /// After it a router trusts its list for the streams of the route.
  static constexpr milliseconds history_time{16000};
  static constexpr milliseconds joined_within{4000};
  static constexpr milliseconds unread_for{200};
};

// Guards against streams that go on at the version that a planner knew before
// it stood still.
TEST_F(paused_planner_test, lets_streams_go_on_at_the_version_that_joined) {
  this->play();
  this->expect_all_whole();
}

// Guards against streams that are refused though there is one version only.
TEST_F(taken_up_stream_test, goes_on_after_a_loss_if_versions_are_alike) {
  this->begin("v1", "v1", "v1");
  this->play(true);
  this->expect_all_whole();
}

}  // namespace
}  // namespace boragehill::fleet_test
