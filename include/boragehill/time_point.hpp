#ifndef BORAGEHILL_TIME_POINT_HPP
#define BORAGEHILL_TIME_POINT_HPP

#include <chrono>
#include <cstdint>

namespace boragehill {

/// A point on the monotonic clock of one process; never compared across
/// processes. Decisions take it as an argument, so tests run on virtual time.
using time_point = std::chrono::steady_clock::time_point;

/// The unit of every duration that crosses an interface.
using milliseconds = std::chrono::milliseconds;

/// \return A duration in seconds, for costs, metrics and headers.
inline double seconds_of(milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

/// \return Milliseconds from one point in time to another.
inline std::int64_t ms_between(time_point from, time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

}  // namespace boragehill

#endif  // BORAGEHILL_TIME_POINT_HPP
