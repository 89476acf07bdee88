#ifndef BORAGEHILL_KERNEL_LINK_BYTES_HPP
#define BORAGEHILL_KERNEL_LINK_BYTES_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace boragehill::kernel {

/// Bytes that this process has moved over its machine's link.
struct link_bytes {
  std::atomic<std::uint64_t> received{0};
  std::atomic<std::uint64_t> sent{0};

  /// Headers of TCP and IP for one piece.
  static constexpr std::size_t header_bytes = 52;

  /// Counts a piece that was read.
  void on_received(std::size_t size) {
    this->received.fetch_add(size + header_bytes, std::memory_order_relaxed);
  }
  /// Counts a piece that was written.
  void on_sent(std::size_t size) {
    this->sent.fetch_add(size + header_bytes, std::memory_order_relaxed);
  }
};

/// The only one: all sockets of a process share the link.
inline link_bytes process_link_bytes;

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_LINK_BYTES_HPP
