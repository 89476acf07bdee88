#ifndef BORAGEHILL_SOAK_STREAM_RECORD_HPP
#define BORAGEHILL_SOAK_STREAM_RECORD_HPP

#include <set>
#include <string>
#include <vector>

namespace boragehill::soak {

/// What a caller got of one stream that may be resumed, over all its tries.
struct stream_record {
  /// How many events a whole one has.
  static constexpr int whole = 8;

  /// Of the first try.
  std::string attempt;
  /// The ids of the events, as they came.
  std::vector<int> events;
  /// The versions of the servers that wrote these events.
  std::set<std::string> versions;
  int tries = 0;
  /// The caller takes it for complete.
  bool complete = false;

  bool operator==(const stream_record&) const = default;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_STREAM_RECORD_HPP
