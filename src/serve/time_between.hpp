#ifndef BORAGEHILL_SERVE_TIME_BETWEEN_HPP
#define BORAGEHILL_SERVE_TIME_BETWEEN_HPP

#include <chrono>
#include <cstdint>

#include <boragehill/time_point.hpp>

namespace boragehill::serve {

/// \return Milliseconds from one point in time to another.
inline std::int64_t ms_between(time_point from, time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_TIME_BETWEEN_HPP
