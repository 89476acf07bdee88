#ifndef BORAGEHILL_DECIDE_LOAD_SAMPLE_HPP
#define BORAGEHILL_DECIDE_LOAD_SAMPLE_HPP

#include <cstdint>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// What a router measures of its own load at one moment.
struct load_sample {
  time_point at;
  /// How late the traffic thread handles what is ready.
  milliseconds delay{0};
  /// Callers' connections that wait to be accepted.
  int queued = 0;
  /// Bytes that have come over the link since the start, and that have left.
  std::uint64_t received = 0;
  std::uint64_t sent = 0;

  bool operator==(const load_sample&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_LOAD_SAMPLE_HPP
