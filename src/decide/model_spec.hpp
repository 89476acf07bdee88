#ifndef BORAGEHILL_DECIDE_MODEL_SPEC_HPP
#define BORAGEHILL_DECIDE_MODEL_SPEC_HPP

#include <cstdint>
#include <string>

namespace boragehill::decide {

/// What all profiles in force together ask for one model.
struct model_spec {
  std::string name;
  std::uint64_t bytes = 0;
  std::uint64_t adapter_bytes = 0;
  /// Grants written ahead of need.
  std::uint32_t replicas = 1;
  /// The most grants that load may raise the number to.
  std::uint32_t max_replicas = 1;
  /// Replicas kept loaded though nobody calls.
  std::uint32_t warm = 0;
  double cold_start_weight = 1.0;
  double idle_weight = 1.0;

  bool operator==(const model_spec&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MODEL_SPEC_HPP
