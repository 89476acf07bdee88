#ifndef BORAGEHILL_KERNEL_BOOT_CLOCK_HPP
#define BORAGEHILL_KERNEL_BOOT_CLOCK_HPP

#include <ctime>

#include <boragehill/time_point.hpp>

namespace boragehill::kernel {

/// \return Time since the VM started, with the time in which it was suspended;
///     the steady clock leaves that out.
inline milliseconds time_since_boot() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_BOOT_CLOCK_HPP
