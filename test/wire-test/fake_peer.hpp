#ifndef BORAGEHILL_WIRE_TEST_FAKE_PEER_HPP
#define BORAGEHILL_WIRE_TEST_FAKE_PEER_HPP

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <string>
#include <string_view>

#include <boragehill/endpoint.hpp>

#include "wire/rpc_frame.hpp"

namespace boragehill::wire {

/// A bare TCP peer for tests: sends any bytes to a server, or listens and
/// answers a client by hand. Listening without `accept` looks to a client
/// like a frozen process: the system completes the connection.
class fake_peer {
 public:
  /// Listens on a free port.
  endpoint listen() {
    const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    this->acceptor = asio::ip::tcp::acceptor(this->context, any);
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  void accept() { this->acceptor.accept(this->socket); }

  /// Stops listening and closes the connection.
  void close() {
    this->acceptor.close();
    this->socket.close();
  }

  /// Closes the connection and listens on.
  void drop() { this->socket.close(); }

  void connect(const endpoint& server) {
    this->socket.connect({asio::ip::make_address(server.address), server.port});
  }

  void send(std::string_view bytes) {
    asio::write(this->socket, asio::buffer(bytes));
  }

  /// \return The next frame's text; empty once the other end closed.
  std::string receive() {
    std::string header(detail::rpc_header_length, '\0');
    std::error_code error;
    asio::read(this->socket, asio::buffer(header), error);
    if (error) return {};
    std::string text(detail::read_big_endian<std::uint32_t>(header), '\0');
    asio::read(this->socket, asio::buffer(text), error);
    return text;
  }

 private:
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor{this->context};
  asio::ip::tcp::socket socket{this->context};
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_TEST_FAKE_PEER_HPP
