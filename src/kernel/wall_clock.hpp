#ifndef BORAGEHILL_KERNEL_WALL_CLOCK_HPP
#define BORAGEHILL_KERNEL_WALL_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace boragehill::kernel {

/// Returns wall-clock milliseconds since the epoch: for people, and for the
/// age of rows that are kept for hours. Clocks of two VMs differ, so no promise
/// may rest on it.
inline std::int64_t wall_clock_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
      .count();
}

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_WALL_CLOCK_HPP
