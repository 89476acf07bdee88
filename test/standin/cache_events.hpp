#ifndef BORAGEHILL_STANDIN_CACHE_EVENTS_HPP
#define BORAGEHILL_STANDIN_CACHE_EVENTS_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <json/json.h>
#include <mutex>
#include <string>

namespace boragehill::standin {

/// An engine's prefix cache events: late, few, and with gaps. Thread safe.
class cache_events {
 public:
  /// \param lag How late an event shows.
  explicit cache_events(std::chrono::milliseconds lag) : lag(lag) {}

  /// Adds an event; every seventh is lost, its number too.
  void add(const std::string& model, const std::string& prefix_digest) {
    const std::scoped_lock lock(this->mutex);
    if (++this->last % gap_every == 0) return;
    Json::Value event;
    event["sequence"] = Json::UInt64{this->last};
    event["model"] = model;
    event["prefix"] = prefix_digest;
    this->events.push_back({.added = clock::now(), .body = event});
    if (this->events.size() > max_events) this->events.pop_front();
  }

  /// Returns the visible events after a sequence number.
  Json::Value after(std::uint64_t sequence) {
    const std::scoped_lock lock(this->mutex);
    Json::Value body;
    body["events"] = Json::Value(Json::arrayValue);
    for (const event& item : this->events) {
      if (item.added + this->lag > clock::now()) break;
      if (item.body["sequence"].asUInt64() <= sequence) continue;
      body["events"].append(item.body);
    }
    return body;
  }

 private:
  using clock = std::chrono::steady_clock;

  struct event {
    clock::time_point added;
    Json::Value body;
  };

  static constexpr std::uint64_t gap_every = 7;
  static constexpr std::size_t max_events = 64;

  std::chrono::milliseconds lag;
  std::mutex mutex;
  std::deque<event> events;
  std::uint64_t last = 0;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_CACHE_EVENTS_HPP
