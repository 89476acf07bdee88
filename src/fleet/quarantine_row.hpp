#ifndef BORAGEHILL_FLEET_QUARANTINE_ROW_HPP
#define BORAGEHILL_FLEET_QUARANTINE_ROW_HPP

#include <cstdint>
#include <map>
#include <string>

namespace boragehill::fleet {

/// What crashes servers and must not run, as it stands in the store: a restart
/// of all routers doesn't forget it.
struct quarantine_row {
  /// Guards the write that replaces it; 0 if there is none yet.
  std::int64_t version = 0;
  /// When each request was quarantined, by fingerprint, in milliseconds since
  /// the epoch.
  std::map<std::string, std::int64_t> requests;
  /// Likewise each part of prompts.
  std::map<std::string, std::int64_t> parts;

  bool operator==(const quarantine_row&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_QUARANTINE_ROW_HPP
