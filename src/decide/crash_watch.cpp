#include "decide/crash_watch.hpp"

#include <utility>

namespace boragehill::decide {

void crash_watch::on_broken(const std::string& fingerprint, time_point now) {
  if (this->answered.contains(fingerprint)) return;
  this->struck.on_strike(fingerprint, now);
  // Bounded, since nothing takes the reports while there is no planner.
  if (this->untold.size() < most_struck) this->untold.push_back(fingerprint);
}

void crash_watch::on_answered(const std::string& fingerprint) {
  this->struck.forget(fingerprint);
  if (!this->answered.insert(fingerprint).second) return;
  this->answered_by_age.push_back(fingerprint);
  if (this->answered_by_age.size() <= most_answered) return;
  this->answered.erase(this->answered_by_age.front());
  this->answered_by_age.pop_front();
}

void crash_watch::on_convicted(const std::string& fingerprint, time_point now) {
  if (this->answered.contains(fingerprint)) return;
  this->struck.convict(fingerprint, now);
}

bool crash_watch::is_convicted(const std::string& fingerprint,
                               time_point now) const {
  return this->struck.is_convicted(fingerprint, now);
}

std::vector<std::string> crash_watch::take_strikes() {
  return std::exchange(this->untold, {});
}

void crash_watch::tell_again(time_point now) {
  // Crashes below the limit aren't reported again: repeated with each lost
  // connection to the planner, they would add up to a quarantine.
  for (const auto& fingerprint : this->struck.convicted(now)) {
    this->untold.insert(this->untold.end(),
                        static_cast<std::size_t>(crash_tally::limit),
                        fingerprint);
  }
}

}  // namespace boragehill::decide
