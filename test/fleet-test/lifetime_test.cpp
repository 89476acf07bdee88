#include <chrono>
#include <gtest/gtest.h>
#include <thread>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Calls until it is answered with 200, as a caller that comes back does.
bool served_within(small_fleet& fleet, const std::string& name,
                   const std::string& model, milliseconds limit) {
  const auto end = steady_clock::now() + limit;
  for (int each = 0; steady_clock::now() < end; ++each) {
    const auto answer =
        fleet.call(1, name + std::to_string(each), model, "/stream/x");
    if (answer && answer->status == 200) return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

TEST(lifetime_test, a_worker_that_starts_again_under_its_id_is_used) {
  // A worker crashes and starts again with the id that it had, empty and with
  // its counts anew, twice. What was known of the earlier lifetime must not
  // keep requests and orders from the new one.
  small_fleet fleet(2, 1, 1, 2);
  ASSERT_TRUE(fleet.start());
  ASSERT_TRUE(served_within(fleet, "a", "model-1", milliseconds(4000)));
  ASSERT_TRUE(served_within(fleet, "b", "model-2", milliseconds(4000)));
  for (const char* round : {"c", "d"}) {
    fleet.replace_worker(1, "i-worker-1");
    EXPECT_TRUE(served_within(fleet, round, "model-1", milliseconds(6000)));
    EXPECT_TRUE(fleet.orders_were_sound());
  }
}

TEST(lifetime_test, a_leave_of_before_a_restart_does_not_hold_after_it) {
  // A worker says that it leaves, and starts again under its id.
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  ASSERT_TRUE(served_within(fleet, "a", "model-1", milliseconds(4000)));
  fleet.drain("worker-1");
  std::this_thread::sleep_for(milliseconds(700));
  fleet.replace_worker(1, "i-worker-1");
  EXPECT_TRUE(served_within(fleet, "b", "model-1", milliseconds(6000)));
}

TEST(lifetime_test, entries_of_another_writer_name_nobody) {
  // Another program writes rows among the servers' entries, one of them over a
  // server's own, and one that names a living server's address. The other
  // servers go on, and so does the feed: a change comes in time.
  small_fleet fleet(1, 1, 2, 1);
  ASSERT_TRUE(fleet.start());
  const std::string address = fleet.real_address("plain-2").to_string();
  fleet.write_entry("", "{}");
  fleet.write_entry("x-1", std::string(1 << 20, 'x'));
  fleet.write_entry("x-2", "\xff\xfe{\"service\":");
  fleet.write_entry("x-3", R"({"service":"sheets","addr":")" + address +
                               R"(","state":"novel","zone":"z","slots":"8"})");
  fleet.write_entry("i-plain-1", "not its own");
  std::this_thread::sleep_for(milliseconds(1000));
  const auto before = fleet.truth("plain-1")["runs"].size();
  for (int each = 0; each < 20; ++each) {
    const auto answer = fleet.call(1, "f" + std::to_string(each), {});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
  }
  EXPECT_EQ(fleet.truth("plain-1")["runs"].size(), before);
  fleet.configure(5, "/plain/new/");
  std::this_thread::sleep_for(milliseconds(2000));
  const auto news = fleet.call(1, "g", {}, "/plain/new/x");
  ASSERT_TRUE(news);
  EXPECT_EQ(news->status, 200);
}

}  // namespace
}  // namespace boragehill::fleet_test
