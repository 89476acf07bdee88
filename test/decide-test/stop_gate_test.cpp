#include "decide/stop_gate.hpp"

#include <gtest/gtest.h>

#include "decide/answer_pace.hpp"

namespace boragehill::decide {
namespace {

const time_point begin{std::chrono::seconds(100)};
const milliseconds long_one = answer_pace().most_time(600, begin);
const milliseconds short_one = answer_pace().most_time(100, begin);
const milliseconds plain = answer_pace().most_time(0, begin);

TEST(stop_gate_test, refuses_a_late_generation_instead_of_cutting_it) {
  // A router gets SIGTERM while the rest of its zone is busy, and callers still
  // reach it six seconds later. A request accepted then is cut off when the
  // process ends; a rejected one is served by another router.
  stop_gate gate;
  EXPECT_FALSE(gate.refuses(long_one, begin));
  gate.close(begin, begin + std::chrono::seconds(8));
  EXPECT_FALSE(gate.refuses(long_one, begin + std::chrono::seconds(2)));
  EXPECT_TRUE(gate.refuses(long_one, begin + std::chrono::seconds(3)));
}

TEST(stop_gate_test, serves_what_surely_ends_in_time) {
  // During a quick succession of router shutdowns all of them shut down at the
  // same time for some seconds: a rejected caller reaches only other routers
  // that reject it.
  stop_gate gate;
  gate.close(begin, begin + std::chrono::seconds(8));
  EXPECT_FALSE(gate.refuses(short_one, begin + std::chrono::seconds(5)));
  EXPECT_TRUE(gate.refuses(short_one, begin + milliseconds(6200)));
  EXPECT_FALSE(gate.refuses(plain, begin + std::chrono::seconds(6)));
  EXPECT_TRUE(gate.refuses(plain, begin + milliseconds(7500)));
}

TEST(stop_gate_test, refuses_what_starts_too_late_though_it_came_in_time) {
  // Guards against responses that are cut off because their requests have
  // waited for a server.
  stop_gate gate;
  gate.close(begin, begin + std::chrono::seconds(8));
  const auto came = begin + std::chrono::seconds(1);
  EXPECT_FALSE(gate.refuses(short_one, came));
  EXPECT_FALSE(gate.refuses(short_one, came + milliseconds(5000)));
  EXPECT_TRUE(gate.refuses(short_one, came + milliseconds(5200)));
}

TEST(stop_gate_test, takes_nothing_in_the_last_moment) {
  // A router in shutdown has no open request and ends; a request that it read
  // in between was sent to a worker and cut off 160 ms later.
  stop_gate gate;
  gate.close(begin, begin + std::chrono::seconds(8));
  EXPECT_FALSE(gate.refuses(plain, begin + std::chrono::seconds(5)));
  gate.shut();
  EXPECT_TRUE(gate.refuses(plain, begin + std::chrono::seconds(5)));
}

}  // namespace
}  // namespace boragehill::decide
