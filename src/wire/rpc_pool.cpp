#include "wire/rpc_pool.hpp"

#include <utility>

namespace boragehill::wire::detail {

namespace {

// Below the server's default idle timeout, so that it's mostly the client who
// closes and a call seldom meets a connection that is just being closed.
constexpr milliseconds longest_kept{30000};
constexpr milliseconds cleaning_interval{5000};

}  // namespace

std::optional<rpc_socket> rpc_pool::take(const endpoint& peer) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->kept.find(peer);
  if (found == this->kept.end()) return std::nullopt;
  auto& sockets = found->second;
  while (!sockets.empty()) {
    rpc_socket socket = std::move(sockets.back().socket);
    sockets.pop_back();
    if (!socket.unusable()) return socket;
  }
  return std::nullopt;
}

void rpc_pool::put(const endpoint& peer, rpc_socket socket) {
  const time_point now = time_point::clock::now();
  const std::lock_guard lock(this->mutex);
  auto& sockets = this->kept[peer];
  if (sockets.size() < this->per_peer) {
    sockets.push_back({.socket = std::move(socket), .since = now});
  }
  if (now >= this->next_cleaning) this->close_old(now);
}

void rpc_pool::forget(const endpoint& peer) {
  const std::lock_guard lock(this->mutex);
  this->kept.erase(peer);
}

void rpc_pool::close_old(time_point now) {
  this->next_cleaning = now + cleaning_interval;
  for (auto& [peer, sockets] : this->kept) {
    std::erase_if(sockets, [now](const kept_socket& each) {
      return now - each.since > longest_kept;
    });
  }
  std::erase_if(this->kept,
                [](const auto& each) { return each.second.empty(); });
}

}  // namespace boragehill::wire::detail
