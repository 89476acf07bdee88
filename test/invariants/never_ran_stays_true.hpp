#ifndef BORAGEHILL_INVARIANTS_NEVER_RAN_STAYS_TRUE_HPP
#define BORAGEHILL_INVARIANTS_NEVER_RAN_STAYS_TRUE_HPP

#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>

namespace boragehill::invariants {

/// Checks that what was said never to have run did not run, before or after.
///
/// \param promised Attempt ids answered with "not run" or a tombstone.
/// \param runs How often each attempt id reached a backend server.
inline ::testing::AssertionResult never_ran_stays_true(
    const std::set<std::string>& promised,
    const std::map<std::string, int>& runs) {
  for (const auto& id : promised) {
    const auto ran = runs.find(id);
    if (ran == runs.end() || ran->second == 0) continue;
    return ::testing::AssertionFailure() << id << " ran, against the promise";
  }
  return ::testing::AssertionSuccess();
}

}  // namespace boragehill::invariants

#endif  // BORAGEHILL_INVARIANTS_NEVER_RAN_STAYS_TRUE_HPP
