#ifndef BORAGEHILL_SOAK_LINK_PACER_HPP
#define BORAGEHILL_SOAK_LINK_PACER_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace boragehill::soak {

/// Divides the bandwidth of a thin link among the connections through it.
class link_pacer {
 public:
  static constexpr std::size_t bytes_per_ms = 500;

  /// \return How long a piece waits until it has passed the link.
  std::chrono::milliseconds delay_of(std::size_t size) {
    const auto now = std::chrono::steady_clock::now();
    this->free_at = std::max(this->free_at, now) +
                    std::chrono::milliseconds(size / bytes_per_ms + 1);
    return std::chrono::ceil<std::chrono::milliseconds>(this->free_at - now);
  }

 private:
  std::chrono::steady_clock::time_point free_at;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_LINK_PACER_HPP
