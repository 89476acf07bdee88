#ifndef BORAGEHILL_DECIDE_BACKOFF_HPP
#define BORAGEHILL_DECIDE_BACKOFF_HPP

#include <cstdint>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Returns how long to wait before a retry: exponential backoff with full
/// jitter, so that requests that failed together aren't retried together.
///
/// \param attempt The retry's number, from 0.
/// \param base Upper bound of the first wait.
/// \param cap Upper bound of each wait.
/// \param random_bits Uniformly distributed bits.
/// \return A time from 0 to min(cap, base * 2^attempt), both included.
milliseconds backoff(std::uint32_t attempt, milliseconds base, milliseconds cap,
                     std::uint64_t random_bits);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_BACKOFF_HPP
