#include "fleet-test/slow_caller.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace boragehill::fleet_test {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

slow_caller::slow_caller(const endpoint& router, std::size_t bytes_per_second)
    : socket(::socket(AF_INET, SOCK_STREAM, 0)),
      bytes_per_second(bytes_per_second) {
  constexpr int buffer_bytes = 65536;
  constexpr int segment_bytes = 1460;
  ::setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
  ::setsockopt(this->socket, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
               sizeof(segment_bytes));
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(router.port);
  ::inet_pton(AF_INET, router.address.c_str(), &name.sin_addr);
  EXPECT_EQ(
      ::connect(this->socket, reinterpret_cast<sockaddr*>(&name), sizeof(name)),
      0);
}

slow_caller::~slow_caller() {
  ::close(this->socket);
}

std::size_t slow_caller::take(const std::string& request) const {
  constexpr milliseconds piece_interval{50};
  constexpr std::size_t intervals_a_second =
      std::chrono::seconds(1) / piece_interval;
  ::send(this->socket, request.data(), request.size(), MSG_NOSIGNAL);
  std::string taken;
  std::string piece(this->bytes_per_second / intervals_a_second, '\0');
  for (auto next = steady_clock::now();; next += piece_interval) {
    std::this_thread::sleep_until(next);
    const auto size =
        ::recv(this->socket, piece.data(), piece.size(), MSG_WAITALL);
    if (size <= 0) break;
    taken.append(piece, 0, static_cast<std::size_t>(size));
  }
  const std::string head_end = "\r\n\r\n";
  const auto found = taken.find(head_end);
  if (found == std::string::npos) return 0;
  return taken.size() - found - head_end.size();
}

}  // namespace boragehill::fleet_test
