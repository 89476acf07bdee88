#ifndef BORAGEHILL_INVARIANTS_POISON_BOUND_HPP
#define BORAGEHILL_INVARIANTS_POISON_BOUND_HPP

#include <cstddef>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>

namespace boragehill::invariants {

/// Checks that requests that crash servers are stopped and others are not.
///
/// \param crashes Crashes that each guilty fingerprint caused.
/// \param refused Every fingerprint refused as convicted.
inline ::testing::AssertionResult poison_bound(
    const std::map<std::string, std::size_t>& crashes,
    const std::set<std::string>& refused) {
  constexpr std::size_t most_crashes = 2;
  for (const auto& [fingerprint, count] : crashes) {
    if (count <= most_crashes) continue;
    return ::testing::AssertionFailure()
           << fingerprint << " crashed " << count << " servers";
  }
  for (const std::string& fingerprint : refused) {
    if (crashes.contains(fingerprint)) continue;
    return ::testing::AssertionFailure()
           << fingerprint << " is innocent and was refused";
  }
  return ::testing::AssertionSuccess();
}

}  // namespace boragehill::invariants

#endif  // BORAGEHILL_INVARIANTS_POISON_BOUND_HPP
