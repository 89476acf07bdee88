#include "agent/kept_answers.hpp"

#include <utility>

namespace boragehill::agent {

kept_answers::kept_answers(std::size_t most_bytes) : most_bytes(most_bytes) {}

void kept_answers::keep(const attempt_id& id, std::string frames) {
  const std::lock_guard lock(this->mutex);
  if (frames.size() > this->most_bytes) return;
  if (this->answers.contains(id)) return;
  this->held_bytes += frames.size();
  while (this->held_bytes > this->most_bytes) {
    const auto oldest = this->answers.find(this->oldest_first.front());
    this->held_bytes -= oldest->second->size();
    this->answers.erase(oldest);
    this->oldest_first.pop_front();
  }
  this->oldest_first.push_back(id);
  this->answers.emplace(id,
                        std::make_shared<const std::string>(std::move(frames)));
}

std::shared_ptr<const std::string> kept_answers::find(
    const attempt_id& id) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->answers.find(id);
  return found == this->answers.end() ? nullptr : found->second;
}

std::size_t kept_answers::bytes() const {
  const std::lock_guard lock(this->mutex);
  return this->held_bytes;
}

}  // namespace boragehill::agent
