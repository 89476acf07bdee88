#include "decide/suspect_guard.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::decide {

void suspect_guard::on_interrupted(const interruption& found, time_point now) {
  if (this->linked) return;
  this->own_counts.on_interrupted(found, now);
  this->own_counts.on_server_ended(found.server, now);
}

void suspect_guard::on_completed(const std::vector<std::string>& parts,
                                 time_point now) {
  for (const auto& part : parts) {
    this->completed[part] = now;
    this->own_counts.on_completed(part);
    this->clear_if_completed(part);
  }
  this->evict_excess();
}

void suspect_guard::on_suspected(
    const std::map<std::string, milliseconds>& news, time_point now) {
  this->suspected.clear();
  for (const auto& [part, age] : news) {
    this->suspected.emplace(part, now - age);
    this->clear_if_completed(part);
  }
}

std::vector<std::string> suspect_guard::on_quarantined(
    const std::vector<std::string>& news, bool first, time_point now) {
  std::map<std::string, time_point> next;
  if (first) next = this->refused;
  std::vector<std::string> added;
  for (const auto& part : news) {
    const auto known = this->refused.find(part);
    const bool is_new = known == this->refused.end();
    if (is_new) added.push_back(part);
    next.emplace(part, is_new ? now : known->second);
  }
  this->refused = std::move(next);
  return added;
}

void suspect_guard::on_planner_linked() {
  this->linked = true;
  this->own_counts = {};
}

void suspect_guard::on_planner_lost() {
  this->linked = false;
  this->suspected.clear();
}

std::vector<std::string> suspect_guard::update(time_point now) {
  if (this->linked) return {};
  auto found = this->own_counts.update(now);
  for (const auto& part : found) this->refused.emplace(part, now);
  return found;
}

bool suspect_guard::is_quarantined(const std::vector<std::string>& parts,
                                   time_point now) const {
  if (this->refused.empty()) return false;
  return std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
    const auto found = this->refused.find(part);
    return found != this->refused.end() &&
           now - found->second <= crash_suspects::retention;
  });
}

std::vector<std::string> suspect_guard::quarantined(time_point now) const {
  std::vector<std::string> found;
  for (const auto& [part, since] : this->refused) {
    if (now - since <= crash_suspects::retention) found.push_back(part);
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

void suspect_guard::clear_if_completed(const std::string& part) {
  const auto suspect = this->suspected.find(part);
  const auto response = this->completed.find(part);
  if (suspect == this->suspected.end() || response == this->completed.end()) {
    return;
  }
  if (response->second <= suspect->second) {
    this->completed_before.insert(part);
    return;
  }
  this->cleared.insert(part);
  this->suspected.erase(suspect);
}

void suspect_guard::evict_excess() {
  while (this->completed.size() > max_completed) {
    this->completed.erase(
        std::min_element(this->completed.begin(), this->completed.end(),
                         [](const auto& left, const auto& right) {
                           return left.second < right.second;
                         }));
  }
}

}  // namespace boragehill::decide
