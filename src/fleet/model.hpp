#ifndef BORAGEHILL_FLEET_MODEL_HPP
#define BORAGEHILL_FLEET_MODEL_HPP

#include <algorithm>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::fleet {

/// One model of a service's catalog, as the operator describes it.
struct model {
  std::string name;
  /// Accelerator memory of the weights, in megabytes.
  double weights_mb = 0;
  /// Accelerator memory of each adapter, in megabytes.
  double adapter_mb = 0;
  /// Time to load from the weight store, from the worker's disk and from its
  /// memory, when nothing else loads.
  milliseconds store_load{0};
  milliseconds disk_load{0};
  milliseconds memory_load{0};
  /// Names of its adapters, sorted.
  std::vector<std::string> adapters;

  bool operator==(const model&) const = default;

  /// \return True if an adapter of that name exists.
  bool has_adapter(const std::string& wanted) const {
    return std::binary_search(this->adapters.begin(), this->adapters.end(),
                              wanted);
  }
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_MODEL_HPP
