#include "decide/eviction.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

constexpr milliseconds minute{60000};

time_point at(milliseconds time) {
  return time_point(time);
}

eviction_candidate idle(const char* name, std::uint64_t bytes,
                        milliseconds last_used, milliseconds reload) {
  return {.name = name,
          .bytes = bytes,
          .last_used = at(last_used),
          .keep_warm = minute,
          .reload = reload};
}

TEST(eviction_test, evicts_the_longest_idle_at_equal_reload_times) {
  const auto evicted = choose_eviction(
      {idle("fresh", 10, minute, minute), idle("old", 10, {}, minute)}, 10,
      at(2 * minute));
  EXPECT_EQ(evicted, "old");
}

TEST(eviction_test, evicts_the_fastest_to_reload) {
  const auto evicted =
      choose_eviction({idle("remote", 10, minute, minute),
                       idle("cached", 10, minute, minute / 20)},
                      10, at(2 * minute));
  EXPECT_EQ(evicted, "cached");
}

TEST(eviction_test, evicts_one_large_replica_instead_of_several_small_ones) {
  const auto evicted = choose_eviction(
      {idle("small", 4, minute, minute), idle("small2", 4, minute, minute),
       idle("large", 8, minute, minute + minute / 10)},
      8, at(2 * minute));
  EXPECT_EQ(evicted, "large");
}

TEST(eviction_test, evicts_a_pinned_replica_only_as_a_last_resort) {
  auto pinned = idle("pinned", 10, {}, milliseconds(1));
  pinned.keep_warm = milliseconds(-1);
  const auto unpinned = idle("other", 10, 2 * minute, 10 * minute);
  EXPECT_EQ(choose_eviction({pinned, unpinned}, 10, at(2 * minute)), "other");
  EXPECT_EQ(choose_eviction({pinned}, 10, at(2 * minute)), "pinned");
}

TEST(eviction_test, evicts_nothing_if_all_together_free_too_little) {
  EXPECT_EQ(
      choose_eviction({idle("a", 4, {}, minute), idle("b", 5, {}, minute)}, 10,
                      at(minute)),
      std::nullopt);
}

}  // namespace
}  // namespace boragehill::decide
