#ifndef BORAGEHILL_WIRE_RPC_SOCKET_HPP
#define BORAGEHILL_WIRE_RPC_SOCKET_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>

#include "wire/rpc_traffic.hpp"

namespace boragehill::wire::detail {

/// The client's end of one connection. Every call blocks until its deadline
/// at most; a peer that is frozen shows as `asio::error::timed_out`.
class rpc_socket {
 public:
  /// \param context Must outlive the socket; nothing needs to run it.
  /// \return The connection, or why there is none.
  static result<rpc_socket> connect(asio::io_context& context,
                                    const endpoint& peer, time_point deadline);

  /// Sends a frame.
  std::error_code send(std::string_view text, rpc_traffic& traffic,
                       time_point deadline);

  /// Receives a frame.
  /// \param max_frame More bytes give `frame_too_large`.
  /// \param text Gets the frame's text.
  std::error_code receive(std::size_t max_frame, std::string& text,
                          rpc_traffic& traffic, time_point deadline);

  /// \return True if a byte arrived since the last `send` began.
  bool answer_begun() const { return this->begun; }

  /// \return True if the peer closed the connection, or sent something that
  ///     nobody asked for.
  bool unusable();

 private:
  explicit rpc_socket(asio::ip::tcp::socket socket);

  std::error_code fill(char* into, std::size_t size, rpc_traffic& traffic,
                       time_point deadline);

  asio::ip::tcp::socket socket;
  bool begun = false;
};

}  // namespace boragehill::wire::detail

#endif  // BORAGEHILL_WIRE_RPC_SOCKET_HPP
