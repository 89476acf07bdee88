#ifndef BORAGEHILL_KERNEL_LISTEN_HPP
#define BORAGEHILL_KERNEL_LISTEN_HPP

#include <asio/ip/tcp.hpp>
#include <system_error>

#include <boragehill/endpoint.hpp>

namespace boragehill::kernel {

/// The most connections that wait to be accepted.
inline constexpr int longest_listen_queue = 1024;

/// Binds an acceptor to an address and listens, with a queue that holds the
/// burst of connections after a failure.
/// \return The system's error if the address can't be had.
std::error_code listen(asio::ip::tcp::acceptor& acceptor,
                       const endpoint& address);

/// \return True if a connection waits to be accepted.
bool connection_waits(asio::ip::tcp::acceptor& acceptor);

/// Closes the next connection that waits to be accepted, without reading from
/// it.
/// \param acceptor Must not block.
/// \return False if none waits.
bool reject_next(asio::ip::tcp::acceptor& acceptor);

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_LISTEN_HPP
