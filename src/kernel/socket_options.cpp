#include "kernel/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>

namespace boragehill::kernel {

namespace {

/// Unacknowledged bytes for longer mean that the peer is gone: some hundred
/// round trips within a region.
constexpr unsigned user_timeout_ms = 2000;

}  // namespace

void set_socket_options(asio::ip::tcp::socket& socket) {
  std::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &user_timeout_ms, sizeof(user_timeout_ms));
}

}  // namespace boragehill::kernel
