#include "standin/engine_batch.hpp"

#include <algorithm>

namespace boragehill::standin {

engine_batch::engine_batch(std::uint32_t slots, std::chrono::milliseconds lag)
    : slots(slots), lag(lag) {}

std::uint64_t engine_batch::enter(const std::string& attempt,
                                  const std::string& model, int priority) {
  std::unique_lock lock(this->mutex);
  const std::uint64_t ticket = ++this->last_ticket;
  entry& mine = this->entries[ticket];
  mine.attempt = attempt;
  mine.model = model;
  const std::pair place{-priority, ticket};
  this->waiting.insert(place);
  this->changed.wait(lock,
                     [&] { return mine.is_cancelled || this->is_next(place); });
  this->waiting.erase(place);
  this->changed.notify_all();
  if (mine.is_cancelled) {
    this->entries.erase(ticket);
    return 0;
  }
  mine.is_running = true;
  ++this->running;
  this->record();
  return ticket;
}

bool engine_batch::is_next(const std::pair<int, std::uint64_t>& place) const {
  return this->running < this->slots && *this->waiting.begin() == place;
}

void engine_batch::leave(std::uint64_t ticket) {
  const std::scoped_lock lock(this->mutex);
  this->entries.erase(ticket);
  --this->running;
  this->record();
  this->changed.notify_all();
}

bool engine_batch::work(std::uint64_t ticket,
                        std::chrono::duration<double> time) {
  std::unique_lock lock(this->mutex);
  const entry& mine = this->entries.at(ticket);
  return !this->changed.wait_for(lock, time,
                                 [&mine] { return mine.is_cancelled; });
}

void engine_batch::cancel(const std::string& attempt) {
  const std::scoped_lock lock(this->mutex);
  for (auto& [ticket, found] : this->entries) {
    if (found.attempt == attempt) found.is_cancelled = true;
  }
  this->changed.notify_all();
}

std::uint32_t engine_batch::running_of(const std::string& model) {
  const std::scoped_lock lock(this->mutex);
  return static_cast<std::uint32_t>(std::count_if(
      this->entries.begin(), this->entries.end(), [&model](const auto& item) {
        return item.second.is_running && item.second.model == model;
      }));
}

std::uint32_t engine_batch::reported_running() {
  const std::scoped_lock lock(this->mutex);
  const auto shown = std::chrono::steady_clock::now() - this->lag;
  while (this->history.size() > 1 && this->history[1].first <= shown) {
    this->history.pop_front();
  }
  if (this->history.empty() || this->history.front().first > shown) return 0;
  return this->history.front().second;
}

void engine_batch::record() {
  const auto now = std::chrono::steady_clock::now();
  this->history.emplace_back(now, this->running);
  while (this->history.size() > 1 &&
         this->history[1].first <= now - this->lag) {
    this->history.pop_front();
  }
}

}  // namespace boragehill::standin
