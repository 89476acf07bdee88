#ifndef BORAGEHILL_SOAK_FLEET_SIZE_HPP
#define BORAGEHILL_SOAK_FLEET_SIZE_HPP

namespace boragehill::soak {

/// The processes of a run.
struct fleet_size {
  int routers = 2;
  /// Model workers, each with an agent.
  int workers = 3;
  int plains = 3;
  int models = 5;

  bool operator==(const fleet_size&) const = default;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_FLEET_SIZE_HPP
