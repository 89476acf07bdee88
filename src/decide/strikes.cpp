#include "decide/strikes.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace boragehill::decide {

strikes::strikes(strike_settings settings) : settings(settings) {}

strike_verdict strikes::judge(const std::string& fingerprint,
                              time_point now) const {
  const entry* known = this->find(fingerprint, now);
  if (known == nullptr) return free_to_run{};
  if (known->convicted) return convicted{};
  return run_alone{};
}

std::vector<std::string> strikes::on_crash(
    const std::vector<std::string>& in_flight, time_point now) {
  const std::set<std::string> present(in_flight.begin(), in_flight.end());
  std::set<std::string> struck;
  for (const std::string& fingerprint : present) {
    if (this->is_struck(fingerprint, now)) struck.insert(fingerprint);
  }
  // Two implicated requests can run on one server if their homes, which don't
  // share their crash counts, choose the same one, or if a copy of one was in
  // flight before it was implicated. Such a crash doesn't show which of them
  // caused it. It is counted for neither, since quarantining both would refuse
  // a harmless request, and they run apart again.
  const bool tells_who = struck.size() == 1;
  std::vector<std::string> guilty;
  for (const std::string& fingerprint : present) {
    const entry* known = this->find(fingerprint, now);
    if (known != nullptr && known->convicted) continue;
    const bool was_struck = struck.contains(fingerprint);
    if (was_struck && !tells_who) continue;
    const std::uint32_t count = was_struck ? known->count + 1 : 1;
    const bool is_guilty = was_struck && count >= this->settings.limit;
    this->entries[fingerprint] = {count, is_guilty, now};
    if (is_guilty) guilty.push_back(fingerprint);
  }
  this->make_room(now);
  return guilty;
}

void strikes::on_success(const std::string& fingerprint) {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() || found->second.convicted) return;
  this->entries.erase(found);
}

void strikes::convict(const std::string& fingerprint, time_point now) {
  const entry* known = this->find(fingerprint, now);
  // Peers repeat a quarantine with each heartbeat. The first time is kept so
  // that it expires; otherwise two routers would renew it for each other
  // forever.
  if (known != nullptr && known->convicted) return;
  this->entries[fingerprint] = {this->settings.limit, true, now};
  this->make_room(now);
}

std::vector<std::string> strikes::recent_convictions(std::size_t most) const {
  std::vector<std::pair<time_point, std::string>> found;
  for (const auto& [fingerprint, known] : this->entries) {
    if (known.convicted) found.emplace_back(known.at, fingerprint);
  }
  std::sort(found.begin(), found.end(), std::greater{});
  if (found.size() > most) found.resize(most);
  std::vector<std::string> latest;
  latest.reserve(found.size());
  for (auto& [at, fingerprint] : found) {
    latest.push_back(std::move(fingerprint));
  }
  return latest;
}

std::size_t strikes::size() const {
  return this->entries.size();
}

const strikes::entry* strikes::find(const std::string& fingerprint,
                                    time_point now) const {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) return nullptr;
  if (now - found->second.at > this->settings.keep) return nullptr;
  return &found->second;
}

bool strikes::is_struck(const std::string& fingerprint, time_point now) const {
  const entry* known = this->find(fingerprint, now);
  return known != nullptr && !known->convicted;
}

void strikes::make_room(time_point now) {
  std::erase_if(this->entries, [&](const auto& item) {
    return now - item.second.at > this->settings.keep;
  });
  // A quarantined request would crash servers again once evicted, whereas an
  // implicated one is most likely harmless. So implicated requests are evicted
  // first, the oldest before the others.
  while (this->entries.size() > this->settings.capacity) {
    const auto worth_least = std::min_element(
        this->entries.begin(), this->entries.end(),
        [](const auto& left, const auto& right) {
          return std::pair{left.second.convicted, left.second.at} <
                 std::pair{right.second.convicted, right.second.at};
        });
    this->entries.erase(worth_least);
  }
}

}  // namespace boragehill::decide
