#ifndef BORAGEHILL_FLEET_ACCOUNT_HPP
#define BORAGEHILL_FLEET_ACCOUNT_HPP

#include <string>

#include "fleet/account_quota.hpp"

namespace boragehill::fleet {

/// A client account of the catalog.
struct account {
  std::string name;
  /// Goes before the priorities of routes; 0 is the most urgent.
  int priority = 0;
  account_quota quota;

  bool operator==(const account&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_ACCOUNT_HPP
