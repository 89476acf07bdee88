#include <algorithm>
#include <chrono>
#include <cstdio>
#include <gtest/gtest.h>
#include <httplib.h>
#include <string>
#include <vector>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using clock = std::chrono::steady_clock;

double ms_since(clock::time_point began) {
  return std::chrono::duration<double, std::milli>(clock::now() - began)
      .count();
}

double median(std::vector<double> samples) {
  std::sort(samples.begin(), samples.end());
  return samples[samples.size() / 2];
}

TEST(overhead_test, a_router_adds_little_and_needs_little) {
  // What a caller pays for the system between it and a warm server, and what
  // each of the two processes takes of its VM's memory.
  constexpr int requests = 300;
  constexpr double most_added_ms = 20;
  constexpr long most_memory_kb = 128L * 1024;
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  const auto server = fleet.real_address("plain-1");
  httplib::Client direct(server.address, server.port);
  std::vector<double> routed;
  std::vector<double> alone;
  for (int each = 0; each < requests; ++each) {
    const auto number = std::to_string(each);
    auto began = clock::now();
    const auto through = fleet.call(1, "through-" + number, {});
    routed.push_back(ms_since(began));
    ASSERT_TRUE(through);
    ASSERT_EQ(through->status, 200) << through->body;
    const httplib::Headers headers{
        {"Boragehill-Expect-Instance", "i-plain-1"},
        {"Boragehill-Attempt-Id", "direct-" + number}};
    began = clock::now();
    const auto straight =
        direct.Post("/plain/x", headers, "which spool?", "text/plain");
    alone.push_back(ms_since(began));
    ASSERT_TRUE(straight);
    ASSERT_EQ(straight->status, 200);
  }
  std::printf("warm: routed p50 %.2f ms, direct p50 %.2f ms\n", median(routed),
              median(alone));
  EXPECT_LT(median(routed), median(alone) + most_added_ms);
  for (const char* name : {"router-1", "agent-1"}) {
    const long memory = fleet[name].status_of("VmRSS");
    std::printf("%s: %ld threads, %ld kB resident\n", name,
                fleet[name].status_of("Threads"), memory);
    EXPECT_LT(memory, most_memory_kb) << name;
  }
}

}  // namespace
}  // namespace boragehill::fleet_test
