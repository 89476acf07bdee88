#ifndef BORAGEHILL_WIRE_RPC_TRAFFIC_HPP
#define BORAGEHILL_WIRE_RPC_TRAFFIC_HPP

#include <atomic>
#include <cstdint>

namespace boragehill::wire::detail {

/// Bytes counted over all connections, frame lengths included.
struct rpc_traffic {
  std::atomic<std::uint64_t> in{0};
  std::atomic<std::uint64_t> out{0};
};

}  // namespace boragehill::wire::detail

#endif  // BORAGEHILL_WIRE_RPC_TRAFFIC_HPP
