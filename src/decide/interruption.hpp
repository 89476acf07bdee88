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

/// \return One response that has just broken off.
/// \param parts Of its request's prompt, in their order.
inline interruption interruption_of(const std::string& server,
                                    const std::vector<std::string>& parts) {
  interruption found{.server = server};
  int position = 0;
  for (const auto& part : parts) found.parts.emplace(part, position++);
  return found;
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_INTERRUPTION_HPP
