#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <thread>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto no_fault = R"({"kind":"none"})";

void shed(small_fleet& fleet, const std::string& server, int rest_ms) {
  fleet.fault(server,
              R"({"kind":"shed","ms":)" + std::to_string(rest_ms) + "}");
}

int turned_away(small_fleet& fleet, const std::string& server) {
  return fleet.truth(server)["turned_away"].asInt();
}

TEST(resting_server_test, gets_nothing_until_its_rest_is_over) {
  // Guards against repeats that pile up at a server that asked for rest.
  small_fleet fleet(1, 1, 2, 1);
  ASSERT_TRUE(fleet.start());
  // Long enough for all calls, also beside load.
  constexpr int rest_ms = 5000;
  shed(fleet, "plain-1", rest_ms);
  ASSERT_TRUE(fleet.wait_for_retries(1, 1));
  for (int each = 0; each < 60; ++each) {
    const auto answer = fleet.call(1, "rest-" + std::to_string(each), {});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200) << answer->body;
  }
  EXPECT_EQ(turned_away(fleet, "plain-1"), 1);
  fleet.fault("plain-1", no_fault);
  std::this_thread::sleep_for(milliseconds(rest_ms));
  bool used = false;
  for (int each = 0; each < 60 && !used; ++each) {
    const auto answer = fleet.call(1, "after-" + std::to_string(each), {});
    ASSERT_TRUE(answer);
    used = answer->get_header_value("Boragehill-Response-Stamp") == "i-plain-1";
  }
  EXPECT_TRUE(used);
}

TEST(resting_server_test, serves_its_callers_after_a_short_rest) {
  // Guards against refusals where the only server rests for a moment.
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  constexpr int rest_ms = 500;
  ASSERT_TRUE(fleet.wait_for_retries(1, 1));
  shed(fleet, "plain-1", rest_ms);
  std::thread recovery([&fleet] {
    std::this_thread::sleep_for(milliseconds(rest_ms / 2));
    fleet.fault("plain-1", no_fault);
  });
  const auto answer = fleet.call(1, "waits", {});
  recovery.join();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200) << answer->body;
  EXPECT_EQ(turned_away(fleet, "plain-1"), 1);
}

TEST(resting_server_test, has_its_callers_told_at_once_of_a_long_rest) {
  // Guards against callers that wait in vain for a server that wants nothing.
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  constexpr int rest_ms = 20000;
  shed(fleet, "plain-1", rest_ms);
  for (int each = 0; each < 3; ++each) {
    const auto begin = steady_clock::now();
    const auto answer = fleet.call(1, "told-" + std::to_string(each), {});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 503);
    const auto back = std::stod(answer->get_header_value("Retry-After"));
    EXPECT_GT(back, 15);
    EXPECT_LT(back, 25);
    EXPECT_LT(steady_clock::now() - begin, milliseconds(500));
  }
  EXPECT_EQ(turned_away(fleet, "plain-1"), 1);
}

}  // namespace
}  // namespace boragehill::fleet_test
