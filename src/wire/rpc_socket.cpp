#include "wire/rpc_socket.hpp"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

#include <boragehill/result_code.hpp>

#include "wire/rpc_frame.hpp"

namespace boragehill::wire::detail {

namespace {

using asio::ip::tcp;

/// Whole milliseconds left, rounded up so that polling doesn't spin.
int milliseconds_until(time_point deadline) {
  constexpr std::int64_t longest = 60000;
  const auto left =
      std::chrono::ceil<milliseconds>(deadline - time_point::clock::now());
  return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, longest));
}

std::error_code wait_for(tcp::socket& socket, short events,
                         time_point deadline) {
  pollfd entry{.fd = socket.native_handle(), .events = events, .revents = 0};
  while (time_point::clock::now() < deadline) {
    const int ready = ::poll(&entry, 1, milliseconds_until(deadline));
    if (ready > 0) return {};
    if (ready < 0 && errno != EINTR) return {errno, std::system_category()};
  }
  return asio::error::timed_out;
}

std::error_code connect_socket(tcp::socket& socket, const tcp::endpoint& to,
                               time_point deadline) {
  if (::connect(socket.native_handle(), to.data(),
                static_cast<socklen_t>(to.size())) == 0) {
    return {};
  }
  if (errno != EINPROGRESS) return {errno, std::system_category()};
  if (const auto error = wait_for(socket, POLLOUT, deadline)) return error;
  int failure = 0;
  socklen_t size = sizeof(failure);
  ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &failure, &size);
  return {failure, std::system_category()};
}

}  // namespace

rpc_socket::rpc_socket(tcp::socket socket) : socket(std::move(socket)) {}

result<rpc_socket> rpc_socket::connect(asio::io_context& context,
                                       const endpoint& peer,
                                       time_point deadline) {
  std::error_code error;
  const auto ip = asio::ip::make_address(peer.address, error);
  if (error) return error;
  const tcp::endpoint to(ip, peer.port);
  tcp::socket socket(context);
  socket.open(to.protocol(), error);
  if (!error) socket.non_blocking(true, error);
  if (!error) socket.native_non_blocking(true, error);
  if (!error) socket.set_option(tcp::no_delay(true), error);
  if (!error) error = connect_socket(socket, to, deadline);
  if (error) return error;
  return rpc_socket(std::move(socket));
}

std::error_code rpc_socket::send(std::string_view text, rpc_traffic& traffic,
                                 time_point deadline) {
  this->begun = false;
  const std::string frame = rpc_frame(text);
  std::size_t sent = 0;
  while (sent < frame.size()) {
    std::error_code error;
    const std::size_t size =
        this->socket.write_some(asio::buffer(frame) + sent, error);
    sent += size;
    traffic.out += size;
    if (error == asio::error::would_block) {
      error = wait_for(this->socket, POLLOUT, deadline);
    }
    if (error) return error;
  }
  return {};
}

std::error_code rpc_socket::receive(std::size_t max_frame, std::string& text,
                                    rpc_traffic& traffic, time_point deadline) {
  std::array<char, rpc_header_length> header{};
  const auto no_header =
      this->fill(header.data(), header.size(), traffic, deadline);
  if (no_header) return no_header;
  const std::size_t length =
      read_big_endian<std::uint32_t>({header.data(), header.size()});
  if (length == 0) return result_code::frame_garbled;
  if (length > max_frame) return result_code::frame_too_large;
  text.resize(length);
  return this->fill(text.data(), length, traffic, deadline);
}

bool rpc_socket::unusable() {
  pollfd entry{
      .fd = this->socket.native_handle(), .events = POLLIN, .revents = 0};
  return ::poll(&entry, 1, 0) != 0;
}

std::error_code rpc_socket::fill(char* into, std::size_t size,
                                 rpc_traffic& traffic, time_point deadline) {
  std::size_t filled = 0;
  while (filled < size) {
    std::error_code error;
    const std::size_t got = this->socket.read_some(
        asio::buffer(into + filled, size - filled), error);
    filled += got;
    traffic.in += got;
    if (got > 0) this->begun = true;
    if (error == asio::error::would_block) {
      error = wait_for(this->socket, POLLIN, deadline);
    }
    if (error) return error;
    // A peer that trickles bytes never makes the wait time out.
    if (time_point::clock::now() >= deadline && filled < size) {
      return asio::error::timed_out;
    }
  }
  return {};
}

}  // namespace boragehill::wire::detail
