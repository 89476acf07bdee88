#ifndef BORAGEHILL_PLACEMENT_HPP
#define BORAGEHILL_PLACEMENT_HPP

#include <string>
#include <vector>

namespace boragehill {

/// The decided replicas of one model, row `placement/<model>`: one grant for
/// each backend server named here.
struct placement {
  std::string model;
  std::vector<std::string> servers;

  bool operator==(const placement&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_PLACEMENT_HPP
