#include "decide/draining_servers.hpp"

#include <gtest/gtest.h>
#include <string>

namespace boragehill::decide {
namespace {

TEST(draining_servers_test, reports_a_server_as_new_once) {
  draining_servers draining;
  EXPECT_FALSE(draining.contains("i-1"));
  EXPECT_TRUE(draining.add("i-1"));
  EXPECT_FALSE(draining.add("i-1"));
  EXPECT_TRUE(draining.contains("i-1"));
  EXPECT_FALSE(draining.contains("i-2"));
}

TEST(draining_servers_test, removes_the_oldest_server_beyond_its_limit) {
  // Guards against memory use that grows with every server that ever drained.
  draining_servers draining;
  for (std::size_t server = 0; server <= draining_servers::max_remembered;
       ++server) {
    EXPECT_TRUE(draining.add("i-" + std::to_string(server)));
  }
  EXPECT_FALSE(draining.contains("i-0"));
  EXPECT_TRUE(draining.contains("i-1"));
  EXPECT_TRUE(draining.contains(
      "i-" + std::to_string(draining_servers::max_remembered)));
}

}  // namespace
}  // namespace boragehill::decide
