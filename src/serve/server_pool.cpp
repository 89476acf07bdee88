#include "serve/server_pool.hpp"

#include <utility>

namespace boragehill::serve {

namespace {

/// Servers close idle connections after seconds; within this time a close is
/// all but sure not to be on its way.
constexpr milliseconds young_age{1500};

}  // namespace

std::shared_ptr<server_connection> server_pool::take(const std::string& server,
                                                     const endpoint& address,
                                                     idle_use may_carry,
                                                     std::size_t most) {
  auto& entry = this->servers[server];
  if (auto found = this->take_idle(entry, may_carry)) return found;
  if (entry.open >= most) {
    // Old idle ones make room for a new one.
    const auto idle = std::exchange(entry.idle, {});
    for (const auto& each : idle) each->abort();
    if (entry.open >= most) return nullptr;
  }
  return this->open_new(server, address);
}

std::shared_ptr<server_connection> server_pool::take_idle(server_entry& entry,
                                                          idle_use may_carry) {
  if (may_carry == idle_use::none) return nullptr;
  const auto now = time_point::clock::now();
  while (!entry.idle.empty()) {
    auto last = entry.idle.back();
    if (last->closed() || now >= last->kept_until()) {
      entry.idle.pop_back();
      last->abort();
      continue;
    }
    const bool is_young = now - last->idle_since() <= young_age;
    if (may_carry == idle_use::young && !is_young) return nullptr;
    entry.idle.pop_back();
    return last;
  }
  return nullptr;
}

std::shared_ptr<server_connection> server_pool::open_new(
    const std::string& server, const endpoint& address) {
  ++this->servers[server].open;
  const auto on_idle = [this,
                        server](std::shared_ptr<server_connection> connection) {
    this->servers[server].idle.push_back(std::move(connection));
  };
  const auto on_closed = [this, server] { --this->servers[server].open; };
  return std::make_shared<server_connection>(this->context, address, on_idle,
                                             on_closed);
}

void server_pool::forget(const std::string& server) {
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) return;
  const auto idle = std::exchange(found->second.idle, {});
  for (const auto& each : idle) each->abort();
  if (found->second.open == 0) this->servers.erase(found);
}

void server_pool::drop_old() {
  const auto now = time_point::clock::now();
  for (auto& [server, entry] : this->servers) {
    std::vector<std::shared_ptr<server_connection>> kept;
    for (auto& each : std::exchange(entry.idle, {})) {
      if (each->closed()) continue;
      if (now < each->kept_until()) {
        kept.push_back(std::move(each));
      } else {
        each->abort();
      }
    }
    entry.idle = std::move(kept);
  }
}

std::size_t server_pool::open() const {
  std::size_t count = 0;
  for (const auto& [server, entry] : this->servers) count += entry.open;
  return count;
}

}  // namespace boragehill::serve
