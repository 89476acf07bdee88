#ifndef BORAGEHILL_WIRE_RPC_SERVER_SETTINGS_HPP
#define BORAGEHILL_WIRE_RPC_SERVER_SETTINGS_HPP

#include <cstddef>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::wire {

/// The limits of a control server.
struct rpc_server_settings {
  /// Port 0 takes a free one; `rpc_server::bound()` tells which.
  endpoint listen;
  /// The most bytes in one frame, either way.
  std::size_t max_frame = 1 << 20;
  std::size_t worker_threads = 4;
  /// The most calls waiting for a worker; more get `server_busy`.
  std::size_t queue = 1024;
  std::size_t max_connections = 2048;
  /// How long a connection may be silent between calls.
  milliseconds idle_timeout{60000};
  /// How long a begun frame may take, either way.
  milliseconds frame_timeout{5000};

  bool operator==(const rpc_server_settings&) const = default;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_RPC_SERVER_SETTINGS_HPP
