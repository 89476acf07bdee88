#ifndef BORAGEHILL_FLEET_ACCOUNT_KEYS_HPP
#define BORAGEHILL_FLEET_ACCOUNT_KEYS_HPP

#include <string>
#include <vector>

#include "fleet/account.hpp"

namespace boragehill::fleet {

/// A client account with the keys that callers show for it.
struct account_keys {
  account owner;
  std::vector<std::string> keys;

  bool operator==(const account_keys&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_ACCOUNT_KEYS_HPP
