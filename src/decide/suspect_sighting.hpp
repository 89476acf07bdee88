#ifndef BORAGEHILL_DECIDE_SUSPECT_SIGHTING_HPP
#define BORAGEHILL_DECIDE_SUSPECT_SIGHTING_HPP

#include <map>
#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A suspect that was in flight when a response broke off.
struct suspect_sighting {
  /// The place of a part in its prompt.
  int position = 0;
  /// How long the first run with it had been under way; nothing if not known.
  std::optional<milliseconds> ran;
  /// How much later than the first response there it broke off.
  milliseconds delay{0};
  /// How many runs with it broke off there before their first event.
  int runs = 1;

  bool operator==(const suspect_sighting&) const = default;
};

/// By the suspect's name: a part of a prompt, or a request's fingerprint.
using sighting_map = std::map<std::string, suspect_sighting>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SUSPECT_SIGHTING_HPP
