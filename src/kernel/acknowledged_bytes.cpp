#include "kernel/acknowledged_bytes.hpp"

// The C library's own description of a connection lacks the count.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace boragehill::kernel {

std::uint64_t acknowledged_bytes(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  // Zero where the kernel tells less.
  return info.tcpi_bytes_acked;
}

}  // namespace boragehill::kernel
