#include "decide/backoff.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Returns min(cap, base * 2^attempt) without overflow.
milliseconds backoff_bound(std::uint32_t attempt, milliseconds base,
                           milliseconds cap) {
  milliseconds bound = std::min(base, cap);
  for (std::uint32_t i = 0; i < attempt && bound < cap; ++i) {
    if (bound <= milliseconds{0}) break;
    bound = bound > cap / 2 ? cap : bound * 2;
  }
  return std::max(bound, milliseconds{0});
}

}  // namespace

milliseconds backoff(std::uint32_t attempt, milliseconds base, milliseconds cap,
                     std::uint64_t random_bits) {
  const milliseconds bound = backoff_bound(attempt, base, cap);
  const std::uint64_t value_count =
      static_cast<std::uint64_t>(bound.count()) + 1;
  return milliseconds{static_cast<std::int64_t>(random_bits % value_count)};
}

}  // namespace boragehill::decide
