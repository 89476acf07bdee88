#ifndef BORAGEHILL_INVARIANTS_REVISIONS_RISE_HPP
#define BORAGEHILL_INVARIANTS_REVISIONS_RISE_HPP

#include <cstddef>
#include <cstdint>
#include <gtest/gtest.h>
#include <vector>

namespace boragehill::invariants {

/// Checks that no revision in force at one router goes backwards.
///
/// \param in_force The revision after each step, in order of time.
inline ::testing::AssertionResult revisions_rise(
    const std::vector<std::uint64_t>& in_force) {
  for (std::size_t i = 1; i < in_force.size(); ++i) {
    if (in_force[i] >= in_force[i - 1]) continue;
    return ::testing::AssertionFailure()
           << "step " << i << ": revision " << in_force[i - 1]
           << " was replaced by " << in_force[i];
  }
  return ::testing::AssertionSuccess();
}

}  // namespace boragehill::invariants

#endif  // BORAGEHILL_INVARIANTS_REVISIONS_RISE_HPP
