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
  /// True if callers' connections waited to be accepted since the sample
  /// before, without a gap.
  bool queued = false;
  /// Bytes that have come over the link since the start, and that have left.
  std::uint64_t received = 0;
  std::uint64_t sent = 0;

  bool operator==(const load_sample&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_LOAD_SAMPLE_HPP
