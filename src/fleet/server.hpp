#ifndef BORAGEHILL_FLEET_SERVER_HPP
#define BORAGEHILL_FLEET_SERVER_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

#include "fleet/resident_model.hpp"

namespace boragehill::fleet {

/// A backend server as it registered itself with the platform.
struct server {
  /// New at each start of the server.
  std::string id;
  std::string service;
  /// The store's counter at the entry's last change.
  std::int64_t version = 0;
  endpoint address;
  std::string failure_domain;
  /// It leaves and must get no new requests.
  bool draining = false;
  int slots = 0;
  std::vector<resident_model> models;
  /// Models with a copy of their weights in the server's main memory or on its
  /// disk.
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;

  bool operator==(const server&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_SERVER_HPP
