// How tests call the routers of a small fleet.

#include <arpa/inet.h>
#include <cstdio>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {

namespace {

sockaddr_in ip_address(const endpoint& from) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(from.port);
  ::inet_pton(AF_INET, from.address.c_str(), &address.sin_addr);
  return address;
}

int open_socket() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{.tv_sec = 5, .tv_usec = 0};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  return socket;
}

bool reaches(int socket, const endpoint& address) {
  const auto to = ip_address(address);
  return ::connect(socket, reinterpret_cast<const sockaddr*>(&to),
                   sizeof(to)) == 0;
}

}  // namespace

httplib::Result small_fleet::call(int router, const std::string& attempt,
                                  const std::string& model,
                                  const std::string& path, int deadline_ms) {
  const auto address = this->caller_address(router);
  httplib::Client client(address.address, address.port);
  client.set_read_timeout(std::chrono::seconds(12));
  httplib::Headers headers{
      {"Host", "valves.example"},
      {"Boragehill-Attempt-Id", attempt},
      {"Boragehill-Deadline-Ms", std::to_string(deadline_ms)}};
  if (!model.empty()) headers.emplace("Boragehill-Model", model);
  if (!this->accounts.empty()) {
    headers.emplace("Authorization", std::string("Bearer ") + account_key);
  }
  return client.Post(path, headers, "which spool?", "text/plain");
}

int small_fleet::connect(int router, const std::string& source) const {
  const int socket = open_socket();
  if (!source.empty()) {
    const auto from = ip_address({source, 0});
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&from),
               sizeof(from)) != 0) {
      std::perror("bind");
    }
  }
  if (!reaches(socket, this->caller_address(router))) std::perror("connect");
  return socket;
}

std::optional<int> small_fleet::try_connect(int router) const {
  const int socket = open_socket();
  if (reaches(socket, this->caller_address(router))) return socket;
  ::close(socket);
  return std::nullopt;
}

std::string small_fleet::raw(int router, const std::string& bytes,
                             const std::string& source) const {
  return exchange(this->connect(router, source), bytes);
}

std::string small_fleet::exchange(int socket, const std::string& bytes) {
  std::string got;
  ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  char buffer[4096];
  for (ssize_t size = 1; size > 0;) {
    size = ::recv(socket, buffer, sizeof(buffer), 0);
    if (size > 0) got.append(buffer, static_cast<std::size_t>(size));
  }
  ::close(socket);
  return got;
}

}  // namespace boragehill::fleet_test
