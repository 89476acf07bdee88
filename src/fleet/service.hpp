#ifndef BORAGEHILL_FLEET_SERVICE_HPP
#define BORAGEHILL_FLEET_SERVICE_HPP

#include <string>
#include <vector>

#include "fleet/model.hpp"

namespace boragehill::fleet {

/// A service of the catalog: a set of backend servers that run the same
/// software.
struct service {
  std::string name;
  /// Connections that one backend server accepts from all callers together.
  int max_connections = 0;
  /// Where a backend server tells whether it is well; empty if nowhere.
  std::string health_path;
  /// True for model workers; the fields below are theirs only.
  bool has_engine = false;
  /// Accelerator memory for weights and adapters together, in megabytes.
  double weights_mb = 0;
  /// The most adapters that a worker holds.
  int adapter_places = 0;
  /// Requests that a worker runs at once.
  int slots = 0;
  /// Tokens of key-value memory of a worker.
  int kv_tokens = 0;
  /// Loads a second that the weight store allows over all workers.
  double loads_per_second = 0;
  std::vector<model> models;

  bool operator==(const service&) const = default;

  /// \return The model of that name, or null.
  const model* find_model(const std::string& name) const {
    for (const auto& each : this->models) {
      if (each.name == name) return &each;
    }
    return nullptr;
  }
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_SERVICE_HPP
