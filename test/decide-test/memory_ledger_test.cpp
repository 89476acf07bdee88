#include "decide/memory_ledger.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(memory_ledger_test, rejects_a_reservation_beyond_the_capacity) {
  memory_ledger ledger(100);
  EXPECT_TRUE(ledger.reserve("a", 60));
  EXPECT_FALSE(ledger.reserve("b", 41));
  EXPECT_TRUE(ledger.reserve("a:x", 40));
  EXPECT_EQ(ledger.free(), 0U);
}

TEST(memory_ledger_test, rejects_a_second_reservation_of_a_name) {
  memory_ledger ledger(100);
  EXPECT_TRUE(ledger.reserve("a", 10));
  EXPECT_FALSE(ledger.reserve("a", 10));
  EXPECT_EQ(ledger.reserved(), 10U);
}

TEST(memory_ledger_test, ignores_a_repeated_release) {
  memory_ledger ledger(100);
  ledger.reserve("a", 10);
  ledger.reserve("b", 20);
  ledger.release("a");
  ledger.release("a");
  EXPECT_EQ(ledger.reserved(), 20U);
}

TEST(memory_ledger_test,
     has_no_free_memory_when_an_engine_exceeds_the_capacity) {
  memory_ledger ledger(100);
  ledger.set_reservation("a", 120);
  EXPECT_EQ(ledger.free(), 0U);
  EXPECT_FALSE(ledger.reserve("b", 1));
}

}  // namespace
}  // namespace boragehill::decide
