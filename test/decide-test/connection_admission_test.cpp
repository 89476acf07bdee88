#include "decide/connection_admission.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

// Guards against routers that reject all connections while each of them is
// overloaded.
TEST(connection_admission_test, takes_some_connections_under_any_load) {
  connection_admission admission;
  time_point now = time_point() + std::chrono::hours(1);
  const auto end = now + std::chrono::seconds(10);
  int admitted = 0;
  for (; now < end; now += milliseconds(1)) {
    if (!admission.admits(true, now)) continue;
    admission.on_admitted(now);
    ++admitted;
  }
  EXPECT_EQ(admitted, 40);
  EXPECT_FALSE(admission.admits(true, now - milliseconds(1)));
  EXPECT_TRUE(admission.admits(false, now - milliseconds(1)));
}

}  // namespace
}  // namespace boragehill::decide
