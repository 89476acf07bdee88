#ifndef BORAGEHILL_DECIDE_RESIDENCY_TARGET_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_TARGET_HPP

#include <string>
#include <vector>

namespace boragehill::decide {

/// The models and adapters that one worker should hold. Loaded models that are
/// not listed may stay until their memory is needed.
struct residency_target {
  std::vector<std::string> models;
  /// As "model/adapter".
  std::vector<std::string> adapters;

  bool operator==(const residency_target&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_TARGET_HPP
