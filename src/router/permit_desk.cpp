#include "router/permit_desk.hpp"

#include <utility>

namespace boragehill::router {

void permit_desk::open(const std::string& attempt, const vm_info& home) {
  const std::lock_guard lock(this->mutex);
  auto opened = std::make_unique<place>();
  opened->home = home;
  this->places[attempt] = std::move(opened);
}

void permit_desk::mark_queued(const std::string& attempt) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->places.find(attempt);
  if (found != this->places.end()) found->second->queued = true;
}

std::optional<wire::permit_answer> permit_desk::await(
    const std::string& attempt, time_point until) {
  std::unique_lock lock(this->mutex);
  const auto found = this->places.find(attempt);
  if (found == this->places.end()) return std::nullopt;
  // Only the waiting thread closes its place, so the reference stays good.
  place& mine = *found->second;
  mine.changed.wait_until(lock, until,
                          [&] { return mine.lost || mine.answer.has_value(); });
  return mine.answer;
}

void permit_desk::close(const std::string& attempt) {
  const std::lock_guard lock(this->mutex);
  this->places.erase(attempt);
}

bool permit_desk::bring(const wire::permit_answer& answer) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->places.find(answer.attempt);
  if (found == this->places.end()) return false;
  found->second->answer = answer;
  found->second->changed.notify_one();
  return true;
}

void permit_desk::lose(const std::vector<std::string>& attempts) {
  const std::lock_guard lock(this->mutex);
  for (const auto& attempt : attempts) {
    const auto found = this->places.find(attempt);
    if (found == this->places.end()) continue;
    found->second->lost = true;
    found->second->changed.notify_one();
  }
}

std::map<std::string, std::pair<vm_info, std::vector<std::string>>>
permit_desk::waiting() const {
  const std::lock_guard lock(this->mutex);
  std::map<std::string, std::pair<vm_info, std::vector<std::string>>> homes;
  for (const auto& [attempt, place] : this->places) {
    if (!place->queued || place->answer || place->lost) continue;
    auto& [home, attempts] = homes[place->home.id];
    home = place->home;
    attempts.push_back(attempt);
  }
  return homes;
}

std::size_t permit_desk::size() const {
  const std::lock_guard lock(this->mutex);
  return this->places.size();
}

}  // namespace boragehill::router
