#include "kernel/listen.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragehill::kernel {

std::error_code listen(asio::ip::tcp::acceptor& acceptor,
                       const endpoint& address) {
  std::error_code error;
  const auto ip = asio::ip::make_address(address.address, error);
  if (error) return error;
  const asio::ip::tcp::endpoint own(ip, address.port);
  acceptor.open(own.protocol(), error);
  if (!error)
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(own, error);
  if (!error) acceptor.listen(longest_listen_queue, error);
  return error;
}

bool connection_waits(asio::ip::tcp::acceptor& acceptor) {
  pollfd listening{.fd = acceptor.native_handle(), .events = POLLIN};
  return ::poll(&listening, 1, 0) > 0;
}

bool reject_next(asio::ip::tcp::acceptor& acceptor) {
  const int descriptor = ::accept(acceptor.native_handle(), nullptr, nullptr);
  if (descriptor < 0) return false;
  ::close(descriptor);
  return true;
}

}  // namespace boragehill::kernel
