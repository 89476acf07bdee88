#ifndef BORAGEHILL_INVARIANTS_ONE_ORDER_AT_A_TIME_HPP
#define BORAGEHILL_INVARIANTS_ONE_ORDER_AT_A_TIME_HPP

#include <cstddef>
#include <gtest/gtest.h>

namespace boragehill::invariants {

/// Checks that an engine never works on two orders of one agent.
///
/// \param under_way Orders sent whose outcome is neither known nor settled.
inline ::testing::AssertionResult one_order_at_a_time(std::size_t under_way) {
  if (under_way <= 1) return ::testing::AssertionSuccess();
  return ::testing::AssertionFailure() << under_way << " orders under way";
}

}  // namespace boragehill::invariants

#endif  // BORAGEHILL_INVARIANTS_ONE_ORDER_AT_A_TIME_HPP
