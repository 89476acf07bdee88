#ifndef BORAGEHILL_INVARIANTS_GRANTS_SPREAD_HPP
#define BORAGEHILL_INVARIANTS_GRANTS_SPREAD_HPP

#include <cstddef>
#include <gtest/gtest.h>
#include <map>
#include <string>

namespace boragehill::invariants {

/// Checks that grants stand evenly over failure domains: none has two more
/// than another that has room.
///
/// \param grants Grants by failure domain, 0 included.
/// \param room Servers that could take a grant more, by failure domain.
inline ::testing::AssertionResult grants_spread(
    const std::map<std::string, std::size_t>& grants,
    const std::map<std::string, std::size_t>& room) {
  for (const auto& [fuller, many] : grants) {
    for (const auto& [emptier, few] : grants) {
      const auto left = room.find(emptier);
      if (left == room.end() || left->second == 0) continue;
      if (many <= few + 1) continue;
      return ::testing::AssertionFailure()
             << many << " grants in " << fuller << " but " << few << " in "
             << emptier << ", which has room";
    }
  }
  return ::testing::AssertionSuccess();
}

}  // namespace boragehill::invariants

#endif  // BORAGEHILL_INVARIANTS_GRANTS_SPREAD_HPP
