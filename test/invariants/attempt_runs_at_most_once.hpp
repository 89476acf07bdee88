#ifndef BORAGEHILL_INVARIANTS_ATTEMPT_RUNS_AT_MOST_ONCE_HPP
#define BORAGEHILL_INVARIANTS_ATTEMPT_RUNS_AT_MOST_ONCE_HPP

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace boragehill::invariants {

/// Checks that no attempt id ran twice.
///
/// \param runs How often each attempt id reached a backend server.
inline ::testing::AssertionResult attempt_runs_at_most_once(
    const std::map<std::string, int>& runs) {
  for (const auto& [id, count] : runs) {
    if (count <= 1) continue;
    return ::testing::AssertionFailure() << id << " ran " << count << " times";
  }
  return ::testing::AssertionSuccess();
}

}  // namespace boragehill::invariants

#endif  // BORAGEHILL_INVARIANTS_ATTEMPT_RUNS_AT_MOST_ONCE_HPP
