#include "decide/crash_tally.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::decide {

bool crash_tally::on_strike(const std::string& fingerprint, time_point now) {
  auto& known = this->entries[fingerprint];
  if (now - known.at > keep) known.strikes = 0;
  ++known.strikes;
  known.at = now;
  const bool convicts = known.strikes == limit;
  this->make_room(now);
  return convicts;
}

void crash_tally::convict(const std::string& fingerprint, time_point now) {
  auto& known = this->entries[fingerprint];
  if (known.strikes >= limit) return;
  known = {.strikes = limit, .at = now};
  this->make_room(now);
}

void crash_tally::forget(const std::string& fingerprint) {
  this->entries.erase(fingerprint);
}

bool crash_tally::is_guilty(const entry& known, time_point now) {
  return known.strikes >= limit && now - known.at <= keep;
}

bool crash_tally::is_convicted(const std::string& fingerprint,
                               time_point now) const {
  const auto found = this->entries.find(fingerprint);
  return found != this->entries.end() && is_guilty(found->second, now);
}

std::vector<std::string> crash_tally::convicted(time_point now) const {
  std::vector<std::string> found;
  for (const auto& [fingerprint, known] : this->entries) {
    if (is_guilty(known, now)) found.push_back(fingerprint);
  }
  return found;
}

void crash_tally::make_room(time_point now) {
  std::erase_if(this->entries, [now](const auto& each) {
    return now - each.second.at > keep;
  });
  // A request with few crashes is most likely harmless, so it is evicted first;
  // of equal counts the oldest.
  while (this->entries.size() > this->most) {
    this->entries.erase(std::min_element(
        this->entries.begin(), this->entries.end(),
        [](const auto& left, const auto& right) {
          return std::pair{left.second.strikes, left.second.at} <
                 std::pair{right.second.strikes, right.second.at};
        }));
  }
}

}  // namespace boragehill::decide
