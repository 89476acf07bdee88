#ifndef BORAGEHILL_WIRE_RPC_POOL_HPP
#define BORAGEHILL_WIRE_RPC_POOL_HPP

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "wire/rpc_socket.hpp"

namespace boragehill::wire::detail {

/// The connections kept between calls, by peer. Thread safe.
class rpc_pool {
 public:
  /// \param per_peer The most connections kept to one peer.
  explicit rpc_pool(std::size_t per_peer) : per_peer(per_peer) {}

  /// \return A kept connection that looks usable, or nothing.
  std::optional<rpc_socket> take(const endpoint& peer);

  /// Keeps a connection, and closes those that were kept too long.
  void put(const endpoint& peer, rpc_socket socket);

  /// Closes the connections kept to a peer.
  void forget(const endpoint& peer);

 private:
  struct kept_socket {
    rpc_socket socket;
    time_point since;
  };

  void close_old(time_point now);

  std::size_t per_peer;
  std::mutex mutex;
  std::map<endpoint, std::vector<kept_socket>> kept;
  time_point next_cleaning;
};

}  // namespace boragehill::wire::detail

#endif  // BORAGEHILL_WIRE_RPC_POOL_HPP
