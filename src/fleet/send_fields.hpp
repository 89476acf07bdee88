#ifndef BORAGEHILL_FLEET_SEND_FIELDS_HPP
#define BORAGEHILL_FLEET_SEND_FIELDS_HPP

#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::fleet {

/// What the system tells a worker with a request that it sends on.
struct send_fields {
  /// The lifetime of the worker that may run it; any other refuses.
  std::string expected_server;
  /// How long the worker may take.
  milliseconds time_left{0};
  /// 0 is the most urgent, 9 the least.
  int priority = 5;
  /// The last event that the caller has, where a stream goes on.
  std::optional<std::string> last_event;
  /// The client account that sent it, empty if none did; nothing where the
  /// configuration has no accounts: credentials are then the servers' own.
  std::optional<std::string> account;

  bool operator==(const send_fields&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_SEND_FIELDS_HPP
