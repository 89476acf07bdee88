#include "decide/crash_tracker.hpp"

namespace boragehill::decide {

bool crash_tracker::on_interrupted(const std::string& fingerprint,
                                   const std::string& server, time_point now) {
  if (this->completed.contains(fingerprint)) return false;
  this->crash_counts.on_crash(fingerprint, server, now);
  return true;
}

bool crash_tracker::on_completed(const std::string& fingerprint) {
  const bool cleared = this->crash_counts.clear(fingerprint);
  if (!this->completed.insert(fingerprint).second) return cleared;
  this->completed_by_age.push_back(fingerprint);
  if (this->completed_by_age.size() <= max_completed) return cleared;
  this->completed.erase(this->completed_by_age.front());
  this->completed_by_age.pop_front();
  return cleared;
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

}  // namespace boragehill::decide
