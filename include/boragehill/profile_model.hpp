#ifndef BORAGEHILL_PROFILE_MODEL_HPP
#define BORAGEHILL_PROFILE_MODEL_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace boragehill {

/// A model that a profile allows, with what placing it needs to know.
struct profile_model {
  std::string name;
  std::uint64_t bytes = 0;
  std::vector<std::string> adapters;
  std::uint64_t adapter_bytes = 0;
  /// Grants written ahead of need.
  std::uint32_t replicas = 1;
  /// The most grants that load may raise the number to.
  std::uint32_t max_replicas = 1;
  /// Replicas kept loaded though nobody calls.
  std::uint32_t warm = 0;

  bool operator==(const profile_model&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_PROFILE_MODEL_HPP
