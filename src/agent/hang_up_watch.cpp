#include "agent/hang_up_watch.hpp"

#include <utility>

namespace boragehill::agent {

hang_up_watch::entry::entry(std::function<bool()> connected,
                            std::function<void()> cancel)
    : connected(std::move(connected)), cancel(std::move(cancel)) {}

void hang_up_watch::entry::look() {
  const std::lock_guard lock(this->mutex);
  if (!this->connected || this->connected()) return;
  this->connected = nullptr;
  this->cancel();
}

void hang_up_watch::entry::end() {
  const std::lock_guard lock(this->mutex);
  this->connected = nullptr;
}

std::shared_ptr<hang_up_watch::entry> hang_up_watch::watch(
    std::function<bool()> connected, std::function<void()> cancel) {
  auto added = std::make_shared<entry>(std::move(connected), std::move(cancel));
  const std::lock_guard lock(this->mutex);
  this->entries.push_back(added);
  return added;
}

void hang_up_watch::tick() {
  std::vector<std::shared_ptr<entry>> alive;
  {
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->entries, [&](const std::weak_ptr<entry>& item) {
      auto held = item.lock();
      if (!held) return true;
      alive.push_back(std::move(held));
      return false;
    });
  }
  for (const auto& item : alive) item->look();
}

}  // namespace boragehill::agent
