#ifndef BORAGEHILL_DECIDE_TARGET_NAME_HPP
#define BORAGEHILL_DECIDE_TARGET_NAME_HPP

#include <string>
#include <string_view>

namespace boragehill::decide {

/// Prefixes of target names. A target is "model:<base>" or "pool:<name>"; its
/// name is the key by which the home is chosen.
inline constexpr std::string_view model_prefix = "model:";
inline constexpr std::string_view pool_prefix = "pool:";

/// Returns the target of a base model.
inline std::string model_target(std::string_view base) {
  return std::string(model_prefix).append(base);
}

/// Returns the target of a pool of plain services.
inline std::string pool_target(std::string_view pool) {
  return std::string(pool_prefix).append(pool);
}

/// Returns whether a target is a model.
inline bool is_model_target(std::string_view target) {
  return target.starts_with(model_prefix);
}

/// Returns the base model of a model target.
inline std::string model_of_target(std::string_view target) {
  return std::string(target.substr(model_prefix.size()));
}

/// Returns the pool of a pool target.
inline std::string pool_of_target(std::string_view target) {
  return std::string(target.substr(pool_prefix.size()));
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_TARGET_NAME_HPP
