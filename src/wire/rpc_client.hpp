#ifndef BORAGEHILL_WIRE_RPC_CLIENT_HPP
#define BORAGEHILL_WIRE_RPC_CLIENT_HPP

#include <cstdint>
#include <json/value.h>
#include <memory>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>

#include "wire/rpc_client_settings.hpp"

namespace boragehill::wire {

/// Calls methods of `rpc_server`s. Thread safe; calls block. Connections are
/// kept and reused, one call at a time on each.
class rpc_client {
 public:
  explicit rpc_client(rpc_client_settings settings);
  ~rpc_client();

  rpc_client(const rpc_client&) = delete;
  rpc_client& operator=(const rpc_client&) = delete;

  /// Calls a method. A kept connection that the peer closed before any byte
  /// of the answer is replaced once, so the peer may see a call twice: every
  /// control method is idempotent.
  /// \param peer Where the server listens.
  /// \param method The method's name.
  /// \param params An object.
  /// \param timeout For the whole call, the connecting included.
  /// \return The result; or the server's own code; or `peer_unreachable`: no
  ///     connection, certainly not delivered; `peer_timeout`: no answer in
  ///     time or the connection broke, unknown whether delivered;
  ///     `frame_too_large`, `frame_garbled`; `unknown_method`; `peer_refused`
  ///     for other errors.
  result<Json::Value> call(const endpoint& peer, const std::string& method,
                           const Json::Value& params, milliseconds timeout);

  /// Closes the connections kept to a peer.
  void forget(const endpoint& peer);

  /// \return All bytes received, frame lengths included.
  std::uint64_t bytes_in() const;

  /// \return All bytes sent, frame lengths included.
  std::uint64_t bytes_out() const;

 private:
  class impl;
  std::unique_ptr<impl> inner;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_RPC_CLIENT_HPP
