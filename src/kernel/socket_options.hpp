#ifndef BORAGEHILL_KERNEL_SOCKET_OPTIONS_HPP
#define BORAGEHILL_KERNEL_SOCKET_OPTIONS_HPP

#include <asio/ip/tcp.hpp>

namespace boragehill::kernel {

/// Sets what every connection of ours has: no delay of small writes, and an
/// end if the peer acknowledges nothing for a few seconds.
///
/// A peer that loses power or path answers nothing, not even with a reset, so
/// without the second a write or an open connection would hang for minutes.
void set_socket_options(asio::ip::tcp::socket& socket);

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_SOCKET_OPTIONS_HPP
