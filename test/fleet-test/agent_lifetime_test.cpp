#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <string>
#include <thread>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

/// A fleet of one worker whose agent something happens to in the middle of a
/// load.
class agent_in_a_load {
 public:
  void begin() {
    ASSERT_TRUE(this->fleet.start());
    this->waiting =
        std::thread([this] { this->status = this->ask("model-2"); });
    // The load takes 300 ms.
    std::this_thread::sleep_for(milliseconds(100));
  }

  int ask(const std::string& model) {
    const auto answer =
        this->fleet.call(1, "ask-" + model, model, "/stream/x", 8000);
    return answer ? answer->status : 0;
  }

  process_test::process& agent() { return this->fleet["agent-1"]; }

  /// All models are served after it, and no order did harm.
  void expect_served() {
    this->waiting.join();
    EXPECT_EQ(this->status, 200);
    // Two of these need a place that another one has.
    for (const char* model : {"model-3", "model-4", "model-1"}) {
      EXPECT_EQ(this->ask(model), 200) << model;
    }
    EXPECT_TRUE(this->fleet.orders_were_sound());
  }

 private:
  small_fleet fleet{1, 1, 1, 4};
  std::thread waiting;
  int status = 0;
};

TEST(agent_lifetime_test, the_next_lifetime_of_a_killed_agent_orders_on) {
  // An agent is killed while the load that it ordered is under way. Its next
  // lifetime finds a worker that is busy with an order it knows nothing of, and
  // goes on from what the worker reports.
  agent_in_a_load load;
  ASSERT_NO_FATAL_FAILURE(load.begin());
  load.agent().kill();
  load.agent().start();
  load.expect_served();
}

TEST(agent_lifetime_test, a_paused_agent_orders_nothing_twice_when_it_wakes) {
  // An agent's machine stands still for a second with an order under way. What
  // it was about to order may be old by the time it goes on.
  agent_in_a_load load;
  ASSERT_NO_FATAL_FAILURE(load.begin());
  load.agent().signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(1000));
  load.agent().signal(SIGCONT);
  load.expect_served();
}

}  // namespace
}  // namespace boragehill::fleet_test
