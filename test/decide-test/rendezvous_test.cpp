#include "decide/rendezvous.hpp"

#include <algorithm>
#include <cstddef>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace boragehill::decide {
namespace {

std::vector<std::string> routers_named(int count) {
  std::vector<std::string> routers;
  routers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) routers.push_back("r" + std::to_string(i));
  return routers;
}

TEST(rendezvous_test, keeps_its_weights_between_builds) {
  // Routers of two releases must choose the same homes during a rolling update.
  EXPECT_EQ(rendezvous_weight("r1", "model:m"), 7808149554885964221ULL);
}

TEST(rendezvous_test, returns_at_most_as_many_as_there_are_routers) {
  EXPECT_EQ(rank_homes("model:m", routers_named(3), 2).size(), 2U);
  EXPECT_EQ(rank_homes("model:m", routers_named(3), 9).size(), 3U);
  EXPECT_TRUE(rank_homes("model:m", {}, 2).empty());
}

TEST(rendezvous_test, spreads_targets_evenly) {
  std::map<std::string, int> homes;
  const auto routers = routers_named(10);
  for (int i = 0; i < 10000; ++i) {
    homes[rank_homes("model:" + std::to_string(i), routers, 1).front()] += 1;
  }
  for (const auto& [router, count] : homes) {
    EXPECT_NEAR(count, 1000, 150) << router;
  }
}

RC_GTEST_PROP(rendezvous_test, moves_only_the_targets_of_a_removed_router,
              (const std::string& target)) {
  const int count = *rc::gen::inRange(2, 30);
  auto routers = routers_named(count);
  const auto before = rank_homes(target, routers, routers.size());
  const auto removed = before[*rc::gen::inRange<std::size_t>(0, before.size())];
  std::erase(routers, removed);
  std::reverse(routers.begin(), routers.end());
  auto expected = before;
  std::erase(expected, removed);
  RC_ASSERT(rank_homes(target, routers, routers.size()) == expected);
}

}  // namespace
}  // namespace boragehill::decide
