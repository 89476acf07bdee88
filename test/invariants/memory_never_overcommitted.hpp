#ifndef BORAGEHILL_INVARIANTS_MEMORY_NEVER_OVERCOMMITTED_HPP
#define BORAGEHILL_INVARIANTS_MEMORY_NEVER_OVERCOMMITTED_HPP

#include <cstdint>
#include <gtest/gtest.h>

namespace boragehill::invariants {

/// Checks that what an agent reserved covers what its engine holds, and fits.
///
/// \param capacity The engine's accelerator memory in bytes.
/// \param reserved What the agent's ledger counts.
/// \param held What the engine holds in truth, loads under way included.
inline ::testing::AssertionResult memory_never_overcommitted(
    std::uint64_t capacity, std::uint64_t reserved, std::uint64_t held) {
  if (reserved > capacity) {
    return ::testing::AssertionFailure()
           << reserved << " bytes reserved of " << capacity;
  }
  if (held > capacity) {
    return ::testing::AssertionFailure()
           << held << " bytes held of " << capacity;
  }
  return ::testing::AssertionSuccess();
}

}  // namespace boragehill::invariants

#endif  // BORAGEHILL_INVARIANTS_MEMORY_NEVER_OVERCOMMITTED_HPP
