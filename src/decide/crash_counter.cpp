#include "decide/crash_counter.hpp"

#include <algorithm>
#include <tuple>

namespace boragehill::decide {

bool crash_counter::on_crash(const std::string& fingerprint,
                             const std::string& server, time_point now) {
  auto& known = this->entries[fingerprint];
  if (now - known.recorded_at > retention) known = {};
  known.recorded_at = now;
  bool reaches_limit = false;
  if (!known.quarantined && known.servers.insert(server).second) {
    reaches_limit = known.servers.size() == crash_limit;
    known.quarantined = reaches_limit;
  }
  this->evict_excess(now);
  return reaches_limit;
}

void crash_counter::quarantine(const std::string& fingerprint, time_point now) {
  auto& known = this->entries[fingerprint];
  if (known.quarantined) return;
  known = {.quarantined = true, .recorded_at = now};
  this->evict_excess(now);
}

bool crash_counter::clear(const std::string& fingerprint) {
  return this->entries.erase(fingerprint) > 0;
}

bool crash_counter::has_reached_limit(const entry& known, time_point now) {
  return known.quarantined && now - known.recorded_at <= retention;
}

bool crash_counter::is_quarantined(const std::string& fingerprint,
                                   time_point now) const {
  const auto found = this->entries.find(fingerprint);
  return found != this->entries.end() && has_reached_limit(found->second, now);
}

std::size_t crash_counter::crashes_of(const std::string& fingerprint) const {
  const auto found = this->entries.find(fingerprint);
  return found == this->entries.end() ? 0 : found->second.servers.size();
}

std::vector<std::string> crash_counter::quarantined_requests(
    time_point now) const {
  std::vector<std::string> found;
  for (const auto& [fingerprint, known] : this->entries) {
    if (has_reached_limit(known, now)) found.push_back(fingerprint);
  }
  return found;
}

void crash_counter::evict_excess(time_point now) {
  std::erase_if(this->entries, [now](const auto& item) {
    return now - item.second.recorded_at > retention;
  });
  // A request with few crashes is most likely harmless, so it is evicted first;
  // of equal counts the oldest.
  while (this->entries.size() > this->max_requests) {
    this->entries.erase(std::min_element(
        this->entries.begin(), this->entries.end(),
        [](const auto& left, const auto& right) {
          const auto rank = [](const entry& known) {
            return std::tuple{known.quarantined, known.servers.size(),
                              known.recorded_at};
          };
          return rank(left.second) < rank(right.second);
        }));
  }
}

}  // namespace boragehill::decide
