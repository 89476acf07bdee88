#ifndef BORAGEHILL_WIRE_RPC_SERVER_HPP
#define BORAGEHILL_WIRE_RPC_SERVER_HPP

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>

#include "wire/rpc_server_settings.hpp"

namespace boragehill::wire {

/// Answers JSON-RPC 2.0 calls over length-prefixed frames (a big-endian
/// 32-bit length, then the JSON text). One thread does the socket work;
/// handlers run on worker threads behind a bounded ring. A peer that sends
/// an oversized, garbled or stalled frame loses its connection and nothing
/// else.
///
///     rpc_server server({.listen = {"10.1.2.3", 7101}});
///     server.add("heartbeat", [](const Json::Value& params) {...});
///     if (auto started = server.start(); !started) return started.error();
class rpc_server {
 public:
  /// Gives the result, or the error that travels to the caller. Runs on
  /// several threads at once.
  using handler = std::function<result<Json::Value>(const Json::Value& params)>;

  explicit rpc_server(rpc_server_settings settings);

  /// Stops the server.
  ~rpc_server();

  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  /// Adds a method; before `start()` only.
  void add(std::string method, handler handle);

  /// Listens and answers.
  /// \return `address_in_use` if the address can't be had.
  result<void> start();

  /// \return The address listened on, with the real port.
  endpoint bound() const;

  /// Takes no more calls, finishes those taken in, sends their answers and
  /// closes all connections. Idempotent. Waits for handlers under way.
  void stop();

  /// \return All bytes received, frame lengths included.
  std::uint64_t bytes_in() const;

  /// \return All bytes sent, frame lengths included.
  std::uint64_t bytes_out() const;

 private:
  class impl;
  std::unique_ptr<impl> inner;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_RPC_SERVER_HPP
