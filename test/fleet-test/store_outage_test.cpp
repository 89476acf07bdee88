#include <chrono>
#include <gtest/gtest.h>
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

}  // namespace
}  // namespace boragehill::fleet_test
