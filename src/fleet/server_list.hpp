#ifndef BORAGEHILL_FLEET_SERVER_LIST_HPP
#define BORAGEHILL_FLEET_SERVER_LIST_HPP

#include <cstdint>
#include <map>
#include <string>

#include "fleet/server.hpp"

namespace boragehill::fleet {

/// The backend servers that the platform lists, by id. Immutable once read.
struct server_list {
  /// The store's version as of which the list holds.
  std::int64_t version = 0;
  std::map<std::string, server> servers;

  bool operator==(const server_list&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_SERVER_LIST_HPP
