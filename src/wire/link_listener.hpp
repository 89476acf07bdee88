#ifndef BORAGEHILL_WIRE_LINK_LISTENER_HPP
#define BORAGEHILL_WIRE_LINK_LISTENER_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <system_error>

#include <boragehill/endpoint.hpp>

#include "wire/message_link.hpp"

namespace boragehill::wire {

/// Accepts links from other processes of ours.
class link_listener {
 public:
  using link_receiver = std::function<void(std::shared_ptr<message_link>)>;

  link_listener(asio::io_context& context, link_receiver receive);

  /// Binds and listens.
  /// \return The system's error if the address can't be had.
  std::error_code start(const endpoint& address);

 private:
  void accept();

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  link_receiver receive;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_LINK_LISTENER_HPP
