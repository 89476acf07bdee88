#ifndef BORAGEHILL_WIRE_RPC_CLIENT_SETTINGS_HPP
#define BORAGEHILL_WIRE_RPC_CLIENT_SETTINGS_HPP

#include <cstddef>

#include <boragehill/time_point.hpp>

namespace boragehill::wire {

/// The limits of a control client.
struct rpc_client_settings {
  /// The most bytes in one frame, either way.
  std::size_t max_frame = 1 << 20;
  milliseconds connect_timeout{500};
  /// The most connections kept open to one peer between calls.
  std::size_t idle_per_peer = 8;

  bool operator==(const rpc_client_settings&) const = default;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_RPC_CLIENT_SETTINGS_HPP
