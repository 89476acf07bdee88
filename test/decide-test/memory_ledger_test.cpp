#include "decide/memory_ledger.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(memory_ledger_test, refuses_what_does_not_fit) {
  memory_ledger ledger(100);
  EXPECT_TRUE(ledger.reserve("a", 60));
  EXPECT_FALSE(ledger.reserve("b", 41));
  EXPECT_TRUE(ledger.reserve("a:x", 40));
  EXPECT_EQ(ledger.free(), 0U);
}

TEST(memory_ledger_test, refuses_to_reserve_a_name_twice) {
  memory_ledger ledger(100);
  EXPECT_TRUE(ledger.reserve("a", 10));
  EXPECT_FALSE(ledger.reserve("a", 10));
  EXPECT_EQ(ledger.reserved(), 10U);
}

TEST(memory_ledger_test, releases_once_however_often_it_is_told) {
  memory_ledger ledger(100);
  ledger.reserve("a", 10);
  ledger.reserve("b", 20);
  ledger.release("a");
  ledger.release("a");
  EXPECT_EQ(ledger.reserved(), 20U);
}

TEST(memory_ledger_test, has_nothing_free_when_an_engine_holds_too_much) {
  memory_ledger ledger(100);
  ledger.set_reservation("a", 120);
  EXPECT_EQ(ledger.free(), 0U);
  EXPECT_FALSE(ledger.reserve("b", 1));
}

}  // namespace
}  // namespace boragehill::decide
