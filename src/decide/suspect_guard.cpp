#include "decide/suspect_guard.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::decide {

void suspect_guard::on_interrupted(const std::string& server,
                                   const sighting_map& found, time_point now) {
  if (this->linked && this->settings.confirms_end) return;
  // Each call tells of other runs.
  this->own_counts.on_interrupted(server, milliseconds(0), found, now,
                                  std::to_string(++this->interruptions));
  this->own_counts.on_server_ended(server, now);
}

bool suspect_guard::on_completed(const std::vector<std::string>& suspects,
                                 time_point now) {
  bool clears = false;
  for (const auto& suspect : suspects) {
    this->remember(suspect, now);
    clears = this->own_counts.is_counted(suspect) || clears;
    this->own_counts.on_completed(suspect);
    clears = this->clear_if_completed(suspect) || clears;
    // A planner would say so itself.
    if (!this->linked) this->refused.erase(suspect);
  }
  return clears;
}

void suspect_guard::on_suspected(
    const std::map<std::string, milliseconds>& news, time_point now) {
  // What the planner has dropped was cleared, at whichever router.
  for (const auto& [suspect, since] : this->suspected) {
    if (!news.contains(suspect)) this->own_counts.on_completed(suspect);
  }
  this->suspected.clear();
  for (const auto& [suspect, age] : news) {
    this->suspected.emplace(suspect, now - age);
    this->clear_if_completed(suspect);
  }
}

std::vector<std::string> suspect_guard::on_quarantined(
    const std::vector<std::string>& news, bool first, time_point now) {
  std::map<std::string, time_point> next;
  if (first) next = this->refused;
  std::vector<std::string> added;
  for (const auto& suspect : news) {
    const auto known = this->refused.find(suspect);
    const bool is_new = known == this->refused.end();
    if (is_new) added.push_back(suspect);
    next.emplace(suspect, is_new ? now : known->second);
  }
  this->refused = std::move(next);
  return added;
}

std::vector<std::string> suspect_guard::restore(
    const std::map<std::string, milliseconds>& ages, time_point now) {
  std::vector<std::string> added;
  if (this->linked) return added;
  for (const auto& [suspect, age] : ages) {
    if (age > crash_suspects::retention) continue;
    if (this->refused.emplace(suspect, now - age).second) {
      added.push_back(suspect);
    }
  }
  return added;
}

void suspect_guard::on_planner_linked() {
  this->linked = true;
  if (this->settings.confirms_end) {
    this->own_counts = crash_suspects(this->settings);
  }
}

void suspect_guard::on_planner_lost() {
  this->linked = false;
  this->suspected.clear();
}

std::vector<std::string> suspect_guard::update(time_point now) {
  if (this->linked && this->settings.confirms_end) return {};
  auto found = this->own_counts.update(now);
  if (this->settings.confirms_end) {
    // Own counts end when a planner is linked.
    for (const auto& suspect : found) this->refused.emplace(suspect, now);
  }
  return found;
}

bool suspect_guard::is_quarantined(const std::vector<std::string>& suspects,
                                   time_point now) const {
  return std::any_of(suspects.begin(), suspects.end(),
                     [&](const auto& suspect) {
                       if (this->own_counts.is_quarantined(suspect, now))
                         return true;
                       const auto found = this->refused.find(suspect);
                       return found != this->refused.end() &&
                              now - found->second <= crash_suspects::retention;
                     });
}

bool suspect_guard::is_suspected(const std::string& suspect,
                                 time_point now) const {
  return this->linked ? this->suspected.contains(suspect)
                      : this->own_counts.is_suspected(suspect, now);
}

std::vector<std::string> suspect_guard::quarantined(time_point now) const {
  auto found = this->own_counts.quarantined(now);
  for (const auto& [suspect, since] : this->refused) {
    const bool holds = now - since <= crash_suspects::retention;
    if (holds && !this->own_counts.is_quarantined(suspect, now)) {
      found.push_back(suspect);
    }
  }
  return found;
}

std::vector<std::string> suspect_guard::take_cleared() {
  const auto taken = std::exchange(this->cleared, {});
  return {taken.begin(), taken.end()};
}

std::vector<std::string> suspect_guard::take_completed_before() {
  const auto taken = std::exchange(this->completed_before, {});
  return {taken.begin(), taken.end()};
}

void suspect_guard::remember(const std::string& suspect, time_point now) {
  const bool is_new = this->completed.insert_or_assign(suspect, now).second;
  if (!is_new) return;
  this->completed_by_age.push_back({.suspect = suspect, .at = now});
  while (this->completed.size() > max_completed) {
    auto oldest = std::move(this->completed_by_age.front());
    this->completed_by_age.pop_front();
    const auto known = this->completed.find(oldest.suspect);
    if (known->second == oldest.at) {
      this->completed.erase(known);
    } else {
      // It has completed again since then.
      oldest.at = known->second;
      this->completed_by_age.push_back(std::move(oldest));
    }
  }
}

bool suspect_guard::clear_if_completed(const std::string& suspect) {
  const auto asked = this->suspected.find(suspect);
  const auto response = this->completed.find(suspect);
  if (asked == this->suspected.end() || response == this->completed.end()) {
    return false;
  }
  if (response->second <= asked->second) {
    this->completed_before.insert(suspect);
    return false;
  }
  this->cleared.insert(suspect);
  this->suspected.erase(asked);
  return true;
}

}  // namespace boragehill::decide
