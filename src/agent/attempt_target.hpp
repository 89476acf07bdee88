#ifndef BORAGEHILL_AGENT_ATTEMPT_TARGET_HPP
#define BORAGEHILL_AGENT_ATTEMPT_TARGET_HPP

#include <optional>
#include <string>
#include <string_view>

namespace boragehill::agent {

/// What an attempt runs on: a model, perhaps with an adapter, or a pool.
struct attempt_target {
  /// Empty for a pool.
  std::string model;
  std::string adapter;
  /// Empty for a model.
  std::string pool;

  bool operator==(const attempt_target&) const = default;

  /// Reads "model:<base>" or "pool:<name>"; nothing if it is neither.
  static std::optional<attempt_target> parse(std::string_view text,
                                             std::string_view adapter);
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_ATTEMPT_TARGET_HPP
