#include "router/conviction_book.hpp"

#include <gtest/gtest.h>

#include "router-test/fake_table.hpp"

namespace boragehill::router {

namespace {

const time_point start = time_point(milliseconds(100000));
constexpr milliseconds keep{3600000};
constexpr milliseconds minute{60000};

}  // namespace

TEST(conviction_book_test, forgets_the_oldest_beyond_its_capacity) {
  conviction_book book(2, keep);
  for (const char* each : {"one", "two", "three"}) book.add(each, start);
  EXPECT_FALSE(book.contains("one"));
  EXPECT_EQ(book.latest(5, start), (std::vector<std::string>{"three", "two"}));
  EXPECT_FALSE(book.add("two", start));
}

// The table is down when a request is convicted. A router that starts later
// would let the same request crash two more servers, so the write is repeated.
TEST(conviction_book_test, writes_a_conviction_once_the_table_is_back) {
  fake_table table;
  conviction_book own(10, keep);
  conviction_book other(10, keep);
  table.down = true;
  own.add_own("poison", start);
  own.write_down(table);
  EXPECT_TRUE(own.read_all(table, start).empty());
  table.down = false;
  table.fates = {write_fate::lost_before_it_stood};
  own.write_down(table);
  EXPECT_TRUE(other.read_all(table, start).empty());
  own.write_down(table);
  EXPECT_EQ(other.read_all(table, start), std::vector<std::string>{"poison"});
  EXPECT_TRUE(other.contains("poison"));
}

// The engine was mended, yet the request that once crashed it stays refused.
// Each of two routers lets it off in turn, and each time the other's heartbeat
// brings it back.
TEST(conviction_book_test, lets_a_conviction_end_though_peers_hold_it_still) {
  conviction_book first(10, keep);
  conviction_book second(10, keep);
  first.add("poison", start);
  second.add("poison", start + minute / 2);
  const time_point later = start + keep + milliseconds(1);
  first.expire(later);
  EXPECT_FALSE(first.contains("poison"));
  EXPECT_TRUE(second.contains("poison"));
  for (const auto& told : second.latest(5, later)) first.add(told, later);
  EXPECT_FALSE(first.contains("poison"));
}

}  // namespace boragehill::router
