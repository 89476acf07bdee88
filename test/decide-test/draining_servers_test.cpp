#include "decide/draining_servers.hpp"

#include <gtest/gtest.h>
#include <string>

namespace boragehill::decide {
namespace {

TEST(leaving_servers_test, is_news_once) {
  draining_servers leaving;
  EXPECT_FALSE(leaving.contains("i-1"));
  EXPECT_TRUE(leaving.add("i-1"));
  EXPECT_FALSE(leaving.add("i-1"));
  EXPECT_TRUE(leaving.contains("i-1"));
  EXPECT_FALSE(leaving.contains("i-2"));
}

TEST(leaving_servers_test, forgets_the_oldest_beyond_its_bound) {
  // Guards against memory use that grows with every server that ever drained.
  draining_servers leaving;
  for (std::size_t each = 0; each <= draining_servers::max_remembered; ++each) {
    EXPECT_TRUE(leaving.add("i-" + std::to_string(each)));
  }
  EXPECT_FALSE(leaving.contains("i-0"));
  EXPECT_TRUE(leaving.contains("i-1"));
  EXPECT_TRUE(leaving.contains(
      "i-" + std::to_string(draining_servers::max_remembered)));
}

}  // namespace
}  // namespace boragehill::decide
