#include "decide/crash_tally.hpp"

#include <algorithm>
#include <utility>

#include "decide/crash_watch.hpp"

namespace boragehill::decide {

bool crash_tally::on_strike(const std::string& fingerprint, time_point now) {
  auto& known = this->entries[fingerprint];
  if (now - known.at > crash_watch::keep) known.strikes = 0;
  ++known.strikes;
  known.at = now;
  const bool convicts = known.strikes == crash_watch::limit;
  this->make_room(now);
  return convicts;
}

std::vector<std::string> crash_tally::convicted(time_point now) const {
  std::vector<std::string> found;
  for (const auto& [fingerprint, known] : this->entries) {
    if (known.strikes < crash_watch::limit) continue;
    if (now - known.at <= crash_watch::keep) found.push_back(fingerprint);
  }
  return found;
}

void crash_tally::make_room(time_point now) {
  std::erase_if(this->entries, [now](const auto& each) {
    return now - each.second.at > crash_watch::keep;
  });
  while (this->entries.size() > most) {
    this->entries.erase(std::min_element(
        this->entries.begin(), this->entries.end(),
        [](const auto& left, const auto& right) {
          return std::pair{left.second.strikes, left.second.at} <
                 std::pair{right.second.strikes, right.second.at};
        }));
  }
}

}  // namespace boragehill::decide
