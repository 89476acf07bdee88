#ifndef BORAGEHILL_INVARIANTS_LOADS_ONLY_UNDER_GRANT_HPP
#define BORAGEHILL_INVARIANTS_LOADS_ONLY_UNDER_GRANT_HPP

#include <gtest/gtest.h>
#include <set>
#include <string>

#include <boragehill/engine_order.hpp>
#include <boragehill/model_ref.hpp>

namespace boragehill::invariants {

/// Checks that an order loads only what is granted.
///
/// \param order An order as the engine gets it.
/// \param granted The grants that the table holds for the server and that its
///   agent has not given back.
inline ::testing::AssertionResult loads_only_under_grant(
    const engine_order& order, const std::set<std::string>& granted) {
  if (order.kind == order_kind::unload) return ::testing::AssertionSuccess();
  if (granted.contains(model_ref::parse(order.model).base)) {
    return ::testing::AssertionSuccess();
  }
  return ::testing::AssertionFailure()
         << order.model << " is loaded without a grant";
}

}  // namespace boragehill::invariants

#endif  // BORAGEHILL_INVARIANTS_LOADS_ONLY_UNDER_GRANT_HPP
