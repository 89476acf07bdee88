#ifndef BORAGEHILL_FLEET_REQUEST_FIELDS_HPP
#define BORAGEHILL_FLEET_REQUEST_FIELDS_HPP

#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::fleet {

/// What the headers of a caller's request say to the system.
struct request_fields {
  /// The caller's name for this attempt; new for each.
  std::string attempt;
  /// How long the caller waits.
  std::optional<milliseconds> deadline;
  /// The model asked for, without its adapter; empty for plain services.
  std::string model;
  std::string adapter;
  int prompt_tokens = 0;
  /// The most that it may generate.
  int output_tokens = 0;
  /// The parts of the prompt that other requests may share, in their order; the
  /// last one, which is the request's own, isn't among them.
  std::vector<std::string> prompt_parts;
  /// The last event that the caller has of a stream that it takes up again.
  std::optional<std::string> last_event;
  /// The attempt that brought the first event of that stream; empty if it names
  /// none.
  std::string resumed_attempt;
  /// The caller's estimate of what it generates, if it gives one.
  std::optional<int> output_hint;
  /// The key that the caller shows for its client account; must not be logged.
  std::optional<std::string> key;

  bool operator==(const request_fields&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_REQUEST_FIELDS_HPP
