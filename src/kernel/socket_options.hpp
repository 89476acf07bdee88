#ifndef BORAGEHILL_KERNEL_SOCKET_OPTIONS_HPP
#define BORAGEHILL_KERNEL_SOCKET_OPTIONS_HPP

#include <asio/ip/tcp.hpp>
#include <cstddef>

namespace boragehill::kernel {

/// Sets what every connection of ours has: no delay of small writes, and an
/// end if the peer acknowledges nothing for a few seconds.
///
/// A peer that loses power or path answers nothing, not even with a reset, so
/// without the second a write or an open connection would hang for minutes.
void set_socket_options(asio::ip::tcp::socket& socket);

/// \return The bytes that were written to a connection and that its peer hasn't
///     acknowledged; 0 if that can't be told.
std::size_t unacknowledged_bytes(asio::ip::tcp::socket& socket);

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_SOCKET_OPTIONS_HPP
