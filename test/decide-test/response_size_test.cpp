#include "decide/response_size.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(response_size_test, uses_the_maximum_without_a_hint) {
  EXPECT_EQ((response_size{.max_tokens = 300}).safe_tokens(), 300);
  EXPECT_EQ(response_size{}.safe_tokens(), 0);
}

TEST(response_size_test, uses_a_multiple_of_the_hint) {
  // Guards against rejecting all requests because of the few responses that
  // reach their maximum length.
  EXPECT_EQ((response_size{.max_tokens = 300, .hint = 20}).safe_tokens(), 120);
}

TEST(response_size_test, never_exceeds_the_maximum) {
  EXPECT_EQ((response_size{.max_tokens = 300, .hint = 100}).safe_tokens(), 300);
  EXPECT_EQ(
      (response_size{.max_tokens = 300, .hint = 2000000000}).safe_tokens(),
      300);
  EXPECT_EQ((response_size{.max_tokens = 0, .hint = 40}).safe_tokens(), 0);
}

}  // namespace
}  // namespace boragehill::decide
