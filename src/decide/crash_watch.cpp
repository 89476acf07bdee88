#include "decide/crash_watch.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::decide {

void crash_watch::on_broken(const std::string& fingerprint, time_point now) {
  if (this->answered.contains(fingerprint)) return;
  auto& known = this->struck[fingerprint];
  if (now - known.at > keep) known.strikes = 0;
  ++known.strikes;
  known.at = now;
  // Without a planner nobody takes them.
  if (this->untold.size() < most_struck) this->untold.push_back(fingerprint);
  this->make_room(now);
}

void crash_watch::on_answered(const std::string& fingerprint) {
  this->struck.erase(fingerprint);
  if (!this->answered.insert(fingerprint).second) return;
  this->answered_by_age.push_back(fingerprint);
  if (this->answered_by_age.size() <= most_answered) return;
  this->answered.erase(this->answered_by_age.front());
  this->answered_by_age.pop_front();
}

void crash_watch::on_convicted(const std::string& fingerprint, time_point now) {
  if (this->answered.contains(fingerprint)) return;
  auto& known = this->struck[fingerprint];
  // Told again by each new planner, it must end some day all the same.
  if (known.strikes >= limit) return;
  known = {.strikes = limit, .at = now};
  this->make_room(now);
}

bool crash_watch::is_convicted(const std::string& fingerprint,
                               time_point now) const {
  const auto found = this->struck.find(fingerprint);
  if (found == this->struck.end()) return false;
  return found->second.strikes >= limit && now - found->second.at <= keep;
}

std::vector<std::string> crash_watch::take_strikes() {
  return std::exchange(this->untold, {});
}

void crash_watch::tell_again(time_point now) {
  for (const auto& [fingerprint, known] : this->struck) {
    // Single strikes aren't: told once for each broken link, they would add up
    // to a conviction.
    if (!this->is_convicted(fingerprint, now)) continue;
    this->untold.insert(this->untold.end(),
                        static_cast<std::size_t>(known.strikes), fingerprint);
  }
}

void crash_watch::make_room(time_point now) {
  std::erase_if(this->struck, [now](const auto& each) {
    return now - each.second.at > keep;
  });
  // One strike most likely befell an innocent request; the oldest goes first.
  while (this->struck.size() > most_struck) {
    this->struck.erase(std::min_element(
        this->struck.begin(), this->struck.end(),
        [](const auto& left, const auto& right) {
          return std::pair{left.second.strikes, left.second.at} <
                 std::pair{right.second.strikes, right.second.at};
        }));
  }
}

}  // namespace boragehill::decide
