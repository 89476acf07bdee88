#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <thread>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Far more writes than a test makes after a restore.
constexpr int lost_writes = 300;

/// Lets the store's counter grow by writes that a restore takes back.
void write_rows(small_fleet& fleet) {
  for (int each = 0; each < lost_writes; ++each) {
    fleet.write_row("boragehill", "unused", std::to_string(each));
  }
}

int status_of(small_fleet& fleet, int router, const std::string& model) {
  const auto answer =
      fleet.call(router, "ask-" + model, model, "/stream/x", 8000);
  return answer ? answer->status : 0;
}

/// Waits until a router plans, or until another one than `before` does.
/// \return That router; empty if none did in time.
std::string wait_for_planner(small_fleet& fleet,
                             const std::string& before = {}) {
  const auto end = steady_clock::now() + milliseconds(5000);
  while (steady_clock::now() < end) {
    auto found = fleet.planner();
    if (!found.empty() && found != before) return found;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return {};
}

TEST(restored_store_test, a_restarted_agent_gives_no_lower_fence) {
  // Guards against orders that a worker takes for those of an earlier agent.
  small_fleet fleet(1, 1, 1, 5);
  ASSERT_TRUE(fleet.start());
  const auto copied = fleet.store_version();
  write_rows(fleet);
  fleet["agent-1"].kill();
  fleet["agent-1"].start();
  ASSERT_EQ(status_of(fleet, 1, "model-2"), 200);
  fleet.restore_store(copied);
  fleet["agent-1"].kill();
  fleet["agent-1"].start();
  for (const char* model : {"model-3", "model-4", "model-5"}) {
    EXPECT_EQ(status_of(fleet, 1, model), 200) << model;
  }
  EXPECT_TRUE(fleet.orders_were_sound());
}

TEST(restored_store_test, agents_obey_the_next_planner) {
  // Guards against agents that take a new planner for an earlier one.
  small_fleet fleet(2, 1, 1, 5);
  ASSERT_TRUE(fleet.start());
  const auto first = wait_for_planner(fleet);
  ASSERT_FALSE(first.empty());
  const int first_number = first == "router-1" ? 1 : 2;
  const int second_number = 3 - first_number;
  const auto copied = fleet.store_version();
  write_rows(fleet);
  fleet[first].kill();
  const auto second = wait_for_planner(fleet, first);
  ASSERT_FALSE(second.empty());
  ASSERT_EQ(status_of(fleet, second_number, "model-2"), 200);
  fleet.restore_store(copied);
  fleet[first].start();
  ASSERT_TRUE(fleet.wait_until_ready(first_number, milliseconds(5000)));
  fleet[second].kill();
  EXPECT_EQ(status_of(fleet, first_number, "model-3"), 200);
  EXPECT_EQ(fleet.planner(), first);
  EXPECT_TRUE(fleet.orders_were_sound());
}

}  // namespace
}  // namespace boragehill::fleet_test
