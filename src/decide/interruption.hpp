#ifndef BORAGEHILL_DECIDE_INTERRUPTION_HPP
#define BORAGEHILL_DECIDE_INTERRUPTION_HPP

#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Responses that broke off at one server, as one router saw it.
struct interruption {
  std::string server;
  /// Since the first of them did.
  milliseconds age{0};
  /// The fingerprints of their requests, each once.
  std::vector<std::string> requests;
  /// The parts of their prompts, with the place of each in its prompt.
  std::map<std::string, int> parts;

  bool operator==(const interruption&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_INTERRUPTION_HPP
