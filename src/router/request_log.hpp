#ifndef BORAGEHILL_ROUTER_REQUEST_LOG_HPP
#define BORAGEHILL_ROUTER_REQUEST_LOG_HPP

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

#include "router/request_record.hpp"

namespace boragehill::router {

/// The last requests of this entry router and how each ended, for `explain`.
/// Bounded; thread safe.
class request_log {
 public:
  /// \param capacity The most requests kept.
  explicit request_log(std::size_t capacity) : capacity(capacity) {}

  void add(request_record record) {
    const std::lock_guard lock(this->mutex);
    this->records.push_back(std::move(record));
    if (this->records.size() > this->capacity) this->records.pop_front();
  }

  /// Returns the record of a request id, or nothing if it is not kept.
  std::optional<request_record> find(const std::string& id) const {
    const std::lock_guard lock(this->mutex);
    for (auto at = this->records.rbegin(); at != this->records.rend(); ++at) {
      if (at->id == id) return *at;
    }
    return std::nullopt;
  }

 private:
  std::size_t capacity;
  mutable std::mutex mutex;
  std::deque<request_record> records;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_REQUEST_LOG_HPP
