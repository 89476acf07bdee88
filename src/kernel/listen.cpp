#include "kernel/listen.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragehill::kernel {

std::error_code listen(asio::ip::tcp::acceptor& acceptor,
                       const endpoint& address) {
  constexpr int longest_queue = 1024;
  std::error_code error;
  const auto ip = asio::ip::make_address(address.address, error);
  if (error) return error;
  const asio::ip::tcp::endpoint own(ip, address.port);
  acceptor.open(own.protocol(), error);
  if (!error)
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(own, error);
  if (!error) acceptor.listen(longest_queue, error);
  return error;
}

int queued(asio::ip::tcp::acceptor& acceptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int failed = ::getsockopt(acceptor.native_handle(), IPPROTO_TCP,
                                  TCP_INFO, &info, &size);
  // Of a listening socket this field tells the length of the queue.
  return failed != 0 ? 0 : static_cast<int>(info.tcpi_unacked);
}

bool reject_next(asio::ip::tcp::acceptor& acceptor) {
  const int descriptor = ::accept(acceptor.native_handle(), nullptr, nullptr);
  if (descriptor < 0) return false;
  ::close(descriptor);
  return true;
}

}  // namespace boragehill::kernel
