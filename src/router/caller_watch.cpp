#include "router/caller_watch.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <filesystem>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace boragehill::router {

namespace {

/// An address and port as httplib writes them, or nothing's.
std::pair<std::string, int> peer_of(int socket) {
  sockaddr_storage storage{};
  socklen_t size = sizeof storage;
  auto* generic = reinterpret_cast<sockaddr*>(&storage);
  if (getpeername(socket, generic, &size) != 0) return {{}, -1};
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (storage.ss_family == AF_INET) {
    const auto* peer = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &peer->sin_addr, text.data(), text.size());
    return {text.data(), ntohs(peer->sin_port)};
  }
  if (storage.ss_family != AF_INET6) return {{}, -1};
  const auto* peer = reinterpret_cast<const sockaddr_in6*>(&storage);
  inet_ntop(AF_INET6, &peer->sin6_addr, text.data(), text.size());
  return {text.data(), ntohs(peer->sin6_port)};
}

}  // namespace

caller_watch::caller_watch(std::string caller_address, int caller_port)
    : address(std::move(caller_address)), port(caller_port) {}

bool caller_watch::gone() {
  if (this->port < 0) return false;
  if (!this->looked) {
    this->socket = this->find_socket();
    this->looked = true;
  }
  if (this->socket < 0) return false;
  pollfd watched{this->socket, POLLRDHUP, 0};
  if (poll(&watched, 1, 0) <= 0) return false;
  return (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

int caller_watch::find_socket() const {
  std::error_code error;
  const std::filesystem::directory_iterator all("/proc/self/fd", error);
  if (error) return -1;
  for (const auto& entry : all) {
    const std::string name = entry.path().filename();
    int number = -1;
    std::from_chars(name.data(), name.data() + name.size(), number);
    if (number < 0) continue;
    const auto [peer, peer_port] = peer_of(number);
    if (peer_port == this->port && peer == this->address) return number;
  }
  return -1;
}

}  // namespace boragehill::router
