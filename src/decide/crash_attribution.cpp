#include "decide/crash_attribution.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace boragehill::decide {

crash_attribution::crash_attribution(crash_attribution_settings settings)
    : settings(settings) {}

isolation_decision crash_attribution::evaluate(const std::string& fingerprint,
                                               time_point now) const {
  const entry* known = this->find(fingerprint, now);
  if (known == nullptr) return run_normally{};
  if (known->is_quarantined) return quarantined{};
  return run_isolated{};
}

std::vector<std::string> crash_attribution::on_crash(
    const std::vector<std::string>& in_flight, time_point now) {
  const std::set<std::string> present(in_flight.begin(), in_flight.end());
  std::set<std::string> implicated;
  for (const std::string& fingerprint : present) {
    if (this->is_implicated(fingerprint, now)) implicated.insert(fingerprint);
  }
  // Two implicated requests can run on one server if their homes, which don't
  // share their crash counts, choose the same one, or if a copy of one was in
  // flight before it was implicated. Such a crash doesn't show which of them
  // caused it. It is counted for neither, since quarantining both would refuse
  // a harmless request, and they run apart again.
  const bool identifies_cause = implicated.size() == 1;
  std::vector<std::string> newly_quarantined;
  for (const std::string& fingerprint : present) {
    const entry* known = this->find(fingerprint, now);
    if (known != nullptr && known->is_quarantined) continue;
    const bool was_implicated = implicated.contains(fingerprint);
    if (was_implicated && !identifies_cause) continue;
    const std::uint32_t count = was_implicated ? known->crash_count + 1 : 1;
    const bool reaches_limit =
        was_implicated && count >= this->settings.crash_limit;
    this->entries[fingerprint] = {count, reaches_limit, now};
    if (reaches_limit) newly_quarantined.push_back(fingerprint);
  }
  this->evict_excess(now);
  return newly_quarantined;
}

void crash_attribution::on_completed(const std::string& fingerprint) {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() || found->second.is_quarantined) return;
  this->entries.erase(found);
}

void crash_attribution::quarantine(const std::string& fingerprint,
                                   time_point now) {
  const entry* known = this->find(fingerprint, now);
  // Peers report a quarantine with each heartbeat. The time of the first report
  // is kept so that it expires; otherwise two routers would renew it for each
  // other forever.
  if (known != nullptr && known->is_quarantined) return;
  this->entries[fingerprint] = {this->settings.crash_limit, true, now};
  this->evict_excess(now);
}

std::vector<std::string> crash_attribution::recent_quarantines(
    std::size_t max_count) const {
  std::vector<std::pair<time_point, std::string>> found;
  for (const auto& [fingerprint, known] : this->entries) {
    if (known.is_quarantined) {
      found.emplace_back(known.recorded_at, fingerprint);
    }
  }
  std::sort(found.begin(), found.end(), std::greater{});
  if (found.size() > max_count) found.resize(max_count);
  std::vector<std::string> latest;
  latest.reserve(found.size());
  for (auto& [recorded_at, fingerprint] : found) {
    latest.push_back(std::move(fingerprint));
  }
  return latest;
}

std::size_t crash_attribution::size() const {
  return this->entries.size();
}

const crash_attribution::entry* crash_attribution::find(
    const std::string& fingerprint, time_point now) const {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) return nullptr;
  if (now - found->second.recorded_at > this->settings.retention) {
    return nullptr;
  }
  return &found->second;
}

bool crash_attribution::is_implicated(const std::string& fingerprint,
                                      time_point now) const {
  const entry* known = this->find(fingerprint, now);
  return known != nullptr && !known->is_quarantined;
}

void crash_attribution::evict_excess(time_point now) {
  std::erase_if(this->entries, [&](const auto& item) {
    return now - item.second.recorded_at > this->settings.retention;
  });
  // A quarantined request would crash servers again once evicted, whereas an
  // implicated one is most likely harmless. So implicated requests are evicted
  // first, the oldest before the others.
  while (this->entries.size() > this->settings.capacity) {
    const auto first_to_evict =
        std::min_element(this->entries.begin(), this->entries.end(),
                         [](const auto& left, const auto& right) {
                           return std::pair{left.second.is_quarantined,
                                            left.second.recorded_at} <
                                  std::pair{right.second.is_quarantined,
                                            right.second.recorded_at};
                         });
    this->entries.erase(first_to_evict);
  }
}

}  // namespace boragehill::decide
