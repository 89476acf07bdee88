#ifndef BORAGEHILL_DECIDE_MODEL_SPEC_HPP
#define BORAGEHILL_DECIDE_MODEL_SPEC_HPP

#include <cstdint>
#include <string>

namespace boragehill::decide {

/// Requirements for one model, combined over all profiles in force.
struct model_spec {
  std::string name;
  std::uint64_t bytes = 0;
  std::uint64_t adapter_bytes = 0;
  /// Grants written in advance, without any demand.
  std::uint32_t replicas = 1;
  /// Upper limit of the grants when demand adds more.
  std::uint32_t max_replicas = 1;
  /// Replicas kept loaded without requests.
  std::uint32_t warm_replicas = 0;
  double cold_start_weight = 1.0;
  double idle_weight = 1.0;

  bool operator==(const model_spec&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MODEL_SPEC_HPP
