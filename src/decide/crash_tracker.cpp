#include "decide/crash_tracker.hpp"

#include <utility>

namespace boragehill::decide {

void crash_tracker::on_interrupted(const std::string& fingerprint,
                                   time_point now) {
  if (this->completed.contains(fingerprint)) return;
  this->crash_counts.on_crash(fingerprint, now);
  // Bounded, since nothing takes the reports while there is no planner.
  if (this->unreported.size() < max_implicated) {
    this->unreported.push_back(fingerprint);
  }
}

void crash_tracker::on_completed(const std::string& fingerprint) {
  this->crash_counts.clear(fingerprint);
  if (!this->completed.insert(fingerprint).second) return;
  this->completed_by_age.push_back(fingerprint);
  if (this->completed_by_age.size() <= max_completed) return;
  this->completed.erase(this->completed_by_age.front());
  this->completed_by_age.pop_front();
}

void crash_tracker::on_quarantined(const std::string& fingerprint,
                                   time_point now) {
  if (this->completed.contains(fingerprint)) return;
  this->crash_counts.quarantine(fingerprint, now);
}

bool crash_tracker::is_quarantined(const std::string& fingerprint,
                                   time_point now) const {
  return this->crash_counts.is_quarantined(fingerprint, now);
}

std::vector<std::string> crash_tracker::take_crash_reports() {
  return std::exchange(this->unreported, {});
}

void crash_tracker::report_quarantined_again(time_point now) {
  // Crashes below the limit aren't reported again: repeated with each lost
  // connection to the planner, they would add up to a quarantine.
  for (const auto& fingerprint : this->crash_counts.quarantined_requests(now)) {
    this->unreported.insert(
        this->unreported.end(),
        static_cast<std::size_t>(crash_counter::crash_limit), fingerprint);
  }
}

}  // namespace boragehill::decide
