#ifndef BORAGEHILL_DECIDE_INTERRUPTION_HPP
#define BORAGEHILL_DECIDE_INTERRUPTION_HPP

#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/suspect_sighting.hpp"

namespace boragehill::decide {

/// Responses that broke off at one server, as one router saw it.
struct interruption {
  std::string server;
  /// Since the first of them did.
  milliseconds age{0};
  /// Their requests, by fingerprint.
  sighting_map requests;
  /// The parts of their prompts.
  sighting_map parts;

  bool operator==(const interruption&) const = default;
};

/// \param parts Of a prompt, in their order.
inline sighting_map sightings_of(const std::vector<std::string>& parts) {
  sighting_map found;
  int position = 0;
  for (const auto& part : parts) {
    found.emplace(part, suspect_sighting{.position = position++});
  }
  return found;
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_INTERRUPTION_HPP
