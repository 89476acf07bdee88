#ifndef BORAGEHILL_SERVER_RECORD_HPP
#define BORAGEHILL_SERVER_RECORD_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/grant.hpp>

namespace boragehill {

/// The row `server/<id>`: written by the agent when it starts and by homes
/// when they give or take back a grant.
struct server_record {
  std::string id;
  /// The agent's fencing number; each start of the agent adds one.
  std::uint64_t fence = 0;
  std::uint64_t capacity_bytes = 0;
  std::string failure_domain;
  std::string pool;
  std::vector<grant> grants;
  /// The serial of the grant given last.
  std::uint64_t last_serial = 0;

  bool operator==(const server_record&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_SERVER_RECORD_HPP
