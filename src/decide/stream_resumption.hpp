#ifndef BORAGEHILL_DECIDE_STREAM_RESUMPTION_HPP
#define BORAGEHILL_DECIDE_STREAM_RESUMPTION_HPP

#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

#include "decide/version_binding.hpp"

namespace boragehill::decide {

/// What the planner says of the stream that a caller takes up again.
enum class planner_word {
  /// No planner is linked.
  unlinked,
  /// It is asked, or can be.
  awaited,
  /// It doesn't know the stream.
  unknown,
};

/// What a router knows of a stream that a caller takes up again.
struct stream_resumption {
  /// The version at which the stream began, by this router or the planner.
  std::optional<std::string> origin;
  /// The only version of the service's servers since before the stream can have
  /// begun; nothing if there were several.
  std::optional<std::string> sole_version;
  /// This router knows the servers since then.
  bool is_history_known = false;
  /// The caller names the attempt that brought its first event.
  bool is_named = false;
  planner_word planner = planner_word::unlinked;
  /// Since the request came.
  milliseconds waited{0};

  bool operator==(const stream_resumption&) const = default;
};

/// Decides at which software version a stream goes on.
///
/// A stream with a name goes on only at the version that some record names: a
/// router that is cut off, or stood still, may not have heard of a second
/// version, and neither may a planner in it. One without a name, which nobody
/// can have recorded, goes on at the only version that this router knows of.
version_binding bind_version(const stream_resumption& stream);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STREAM_RESUMPTION_HPP
