#ifndef BORAGEHILL_FLEET_ROUTE_TARGET_HPP
#define BORAGEHILL_FLEET_ROUTE_TARGET_HPP

#include <string>

namespace boragehill::fleet {

/// A service that a route sends to, with its share of the requests.
struct route_target {
  std::string service;
  double weight = 1;

  bool operator==(const route_target&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_ROUTE_TARGET_HPP
