#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <thread>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

TEST(store_outage_test,
     a_change_is_in_force_soon_after_a_silent_store_is_back) {
  // The store falls silent for less than a second and swallows the routers'
  // polls. A route that is added and confirmed just after its return was
  // refused with 404 more than two seconds later, since each router held on to
  // its swallowed poll for three seconds.
  small_fleet fleet(2, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  fleet.configure(5, "/plain/old/");
  // The polls that follow this change go out meanwhile, and wait.
  std::this_thread::sleep_for(milliseconds(600));
  fleet.fault("store", R"({"kind":"silent"})");
  std::this_thread::sleep_for(milliseconds(300));
  fleet.fault("store", R"({"kind":"none"})");
  fleet.configure(6, "/plain/new/");
  std::this_thread::sleep_for(milliseconds(2000));
  for (const int router : {1, 2}) {
    const auto news = fleet.call(router, "n1", {}, "/plain/new/x");
    ASSERT_TRUE(news);
    EXPECT_EQ(news->status, 200) << news->body;
  }
}

TEST(store_outage_test, models_wake_while_the_store_answers_nobody) {
  // The week in which models wake together may be the one in which the store is
  // down. Requests and wakes go on by what routers, planner and agents know.
  small_fleet fleet(2, 2, 1, 6);
  ASSERT_TRUE(fleet.start());
  ASSERT_EQ(fleet.call(1, "before", "model-1", "/stream/x")->status, 200);
  for (const char* kind : {"down", "silent"}) {
    fleet.fault("store", std::string(R"({"kind":")") + kind + "\"}");
    for (int each = 1; each <= 6; ++each) {
      const auto attempt = std::string(kind) + std::to_string(each);
      const auto answer = fleet.call(1 + each % 2, attempt,
                                     numbered("model", each), "/stream/x");
      ASSERT_TRUE(answer) << attempt;
      EXPECT_EQ(answer->status, 200) << attempt << " " << answer->body;
      EXPECT_EQ(fleet.runs_of(attempt), 1) << attempt;
    }
    fleet.fault("store", R"({"kind":"none"})");
  }
  EXPECT_TRUE(fleet.orders_were_sound());
}

}  // namespace
}  // namespace boragehill::fleet_test
