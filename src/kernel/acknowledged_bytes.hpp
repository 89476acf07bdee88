#ifndef BORAGEHILL_KERNEL_ACKNOWLEDGED_BYTES_HPP
#define BORAGEHILL_KERNEL_ACKNOWLEDGED_BYTES_HPP

#include <cstdint>

namespace boragehill::kernel {

/// \param socket The descriptor of a TCP connection.
/// \return The bytes that the peer has acknowledged since the connection was
///     opened; 0 if that can't be told.
std::uint64_t acknowledged_bytes(int socket);

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_ACKNOWLEDGED_BYTES_HPP
