#ifndef BORAGEHILL_FLEET_RESIDENT_MODEL_HPP
#define BORAGEHILL_FLEET_RESIDENT_MODEL_HPP

#include <string>
#include <vector>

namespace boragehill::fleet {

/// A model that a worker holds in accelerator memory, with its adapters.
struct resident_model {
  std::string name;
  std::vector<std::string> adapters;

  bool operator==(const resident_model&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_RESIDENT_MODEL_HPP
