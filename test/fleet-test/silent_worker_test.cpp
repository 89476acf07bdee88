#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

constexpr int streams_under_way = 4;
constexpr int later_callers = 16;
/// Requests that may lie unread at the worker when it wakes: those that were
/// sent in the first tenths of a second, before its silence could be told from
/// a pause.
constexpr int few = 3;

/// Callers of a stream that leave after two seconds.
class patient_callers {
 public:
  explicit patient_callers(small_fleet& fleet) : fleet(fleet) {}

  void call(int number, const std::string& attempt) {
    constexpr int patience_ms = 2000;
    const int router = 1 + number % 2;
    this->threads.emplace_back([this, router, attempt] {
      const auto answer = this->fleet.call(router, attempt, "model-1",
                                           "/stream/x", patience_ms);
      if (answer && answer->status == 200) ++this->answered;
    });
  }

  int wait() {
    for (auto& each : this->threads) each.join();
    this->threads.clear();
    return this->answered;
  }

 private:
  small_fleet& fleet;
  std::vector<std::thread> threads;
  std::atomic<int> answered = 0;
};

/// Stops the given processes while streams are under way at worker 1, lets
/// further callers come and leave, and wakes them again.
class silence {
 public:
  explicit silence(std::vector<std::string> stopped)
      : stopped(std::move(stopped)) {}

  void play() {
    ASSERT_TRUE(this->fleet.start());
    ASSERT_EQ(this->fleet.call(1, "first", "model-1", "/stream/x")->status,
              200);
    patient_callers before(this->fleet);
    for (int each = 0; each < streams_under_way; ++each) {
      before.call(each, "before-" + std::to_string(each));
    }
    std::this_thread::sleep_for(milliseconds(80));
    for (const auto& each : this->stopped) this->fleet[each].signal(SIGSTOP);
    patient_callers later(this->fleet);
    for (int each = 0; each < later_callers; ++each) {
      later.call(each, "later-" + std::to_string(each));
      std::this_thread::sleep_for(milliseconds(60));
    }
    this->answered = later.wait();
    std::this_thread::sleep_for(milliseconds(600));
    for (const auto& each : this->stopped) this->fleet[each].signal(SIGCONT);
    before.wait();
    std::this_thread::sleep_for(milliseconds(400));
    const auto runs = this->fleet.truth("worker-1")["runs"];
    for (int each = 0; each < later_callers; ++each) {
      if (runs.isMember("later-" + std::to_string(each))) ++this->run_in_vain;
    }
  }

  int answered = 0;
  int run_in_vain = 0;

 private:
  std::vector<std::string> stopped;
  small_fleet fleet{2, 2, 1, 2};
};

TEST(silent_worker_test, a_worker_whose_machine_stands_still_gets_no_more) {
  // A machine stands still for seconds with streams under way. Further callers
  // were sent there, waited out their patience and left, and when the machine
  // woke their requests lay in its socket and were run for nobody. The routers
  // saw no failure, since silence was none, although another worker could have
  // had the model within half a second.
  silence machine({"worker-1", "agent-1"});
  machine.play();
  EXPECT_GE(machine.answered, later_callers - few);
  EXPECT_LE(machine.run_in_vain, few);
}

TEST(silent_worker_test, a_worker_that_hangs_beside_a_living_agent_gets_none) {
  // Only the worker's process hangs; the agent on its machine goes on telling
  // the planner of itself. Callers lose as above.
  silence worker({"worker-1"});
  worker.play();
  EXPECT_GE(worker.answered, later_callers - few);
  EXPECT_LE(worker.run_in_vain, few);
}

/// A worker whose machine stands still with streams under way.
class stopped_worker {
 public:
  void begin(const std::string& path) {
    ASSERT_TRUE(this->fleet.start());
    for (const int router : {1, 2}) {
      const auto attempt = "first-" + std::to_string(router);
      ASSERT_EQ(
          this->fleet.call(router, attempt, "model-1", "/stream/x")->status,
          200);
    }
    for (int each = 0; each < streams_under_way; ++each) {
      this->call(1 + each % 2, "before-" + std::to_string(each), path, 10000);
    }
    std::this_thread::sleep_for(milliseconds(80));
    this->fleet["worker-1"].signal(SIGSTOP);
    this->fleet["agent-1"].signal(SIGSTOP);
  }

  void call(int router, const std::string& attempt, const std::string& path,
            int deadline_ms) {
    this->answers.push_back(std::async(std::launch::async, [=, this] {
      const auto begin = std::chrono::steady_clock::now();
      auto answer =
          this->fleet.call(router, attempt, "model-1", path, deadline_ms);
      return told{answer ? answer->status : 0, answer ? answer->body : "",
                  std::chrono::duration_cast<milliseconds>(
                      std::chrono::steady_clock::now() - begin)};
    }));
  }

  /// What a caller got.
  struct told {
    int status;
    std::string body;
    milliseconds after;
  };

  /// \return The answers to all calls so far, in the order of these.
  std::vector<told> wait() {
    std::vector<told> all;
    for (auto& each : this->answers) all.push_back(each.get());
    this->answers.clear();
    return all;
  }

  /// The platform takes the worker off the list, as it is silent to it too.
  void unlist() { this->fleet.forget_server("i-worker-1"); }

  void wake() {
    this->fleet["worker-1"].signal(SIGCONT);
    this->fleet["agent-1"].signal(SIGCONT);
  }

 private:
  small_fleet fleet{2, 2, 1, 2};
  std::vector<std::future<told>> answers;
};

constexpr milliseconds patience{2000};

/// Sends a request to each router, to be called right after the stop.
void call_later(stopped_worker& worker) {
  for (const int router : {1, 2}) {
    worker.call(router, "later-" + std::to_string(router), "/stream/x",
                patience.count());
  }
}

/// Expects that the callers of `call_later` learned in time that their outcome
/// is unknown.
void expect_told_in_time(stopped_worker& worker) {
  const auto answers = worker.wait();
  for (std::size_t each = streams_under_way; each < answers.size(); ++each) {
    EXPECT_EQ(answers[each].status, 502) << answers[each].body;
    EXPECT_LT(answers[each].after, patience);
  }
}

TEST(silent_worker_test, a_caller_is_told_before_its_patience_is_over) {
  // Guards against requests that a router holds at a worker it knows is silent.
  stopped_worker worker;
  ASSERT_NO_FATAL_FAILURE(worker.begin("/stream/x"));
  call_later(worker);
  std::this_thread::sleep_for(patience + milliseconds(200));
  worker.wake();
  expect_told_in_time(worker);
}

TEST(silent_worker_test, a_caller_of_an_unlisted_worker_is_told_as_well) {
  // Guards against requests that are forgotten at a silent worker once the
  // platform has taken it off the list.
  stopped_worker worker;
  ASSERT_NO_FATAL_FAILURE(worker.begin("/stream/x"));
  call_later(worker);
  std::this_thread::sleep_for(milliseconds(600));
  worker.unlist();
  std::this_thread::sleep_for(patience - milliseconds(400));
  worker.wake();
  expect_told_in_time(worker);
}

TEST(silent_worker_test, a_resumable_stream_goes_on_at_another_worker) {
  // Guards against resumable streams that wait for a silent worker though
  // another one has the model.
  stopped_worker worker;
  ASSERT_NO_FATAL_FAILURE(worker.begin("/stream/r/x"));
  std::this_thread::sleep_for(milliseconds(400));
  worker.call(1, "later", "/stream/x", 5000);
  for (const auto& answer : worker.wait()) {
    EXPECT_EQ(answer.status, 200);
    EXPECT_LT(answer.after, milliseconds(5000));
    for (int id = 1; id <= 8; ++id) {
      const auto event = "id: " + std::to_string(id) + "\n";
      const auto first = answer.body.find(event);
      EXPECT_NE(first, std::string::npos) << event << answer.body;
      EXPECT_EQ(answer.body.find(event, first + 1), std::string::npos);
    }
  }
  worker.wake();
}

}  // namespace
}  // namespace boragehill::fleet_test
