#ifndef BORAGEHILL_FLEET_SERVER_HPP
#define BORAGEHILL_FLEET_SERVER_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

#include "fleet/resident_model.hpp"
#include "fleet/worker_report.hpp"

namespace boragehill::fleet {

/// A backend server as it registered itself with the platform.
struct server {
  /// The server's lifetime: another one at each start, also where the server
  /// registers under the id that it had.
  std::string id;
  /// When it started, by its own clock, in milliseconds; 0 if it doesn't tell.
  std::int64_t born = 0;
  std::string service;
  /// The store's counter at the entry's last change.
  std::int64_t version = 0;
  endpoint address;
  std::string failure_domain;
  /// The version of the server's software; empty if it doesn't tell.
  std::string software;
  /// It leaves and must get no new requests.
  bool draining = false;
  int slots = 0;
  std::vector<resident_model> models;
  /// Models with a copy of their weights in the server's main memory or on its
  /// disk.
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;

  bool operator==(const server&) const = default;

  /// \return False if a report is certainly of another lifetime. Which of the
  ///     two is later can't be told from their starts, since clocks step.
  bool may_have_sent(const worker_report& report) const {
    return report.born == 0 || this->born == 0 || report.born == this->born;
  }
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_SERVER_HPP
