#include "decide/rate_limited_servers.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragehill::decide {

bool rate_limited_servers::on_announcement(
    const rate_limit_announcement& announcement, time_point now) {
  const bool known = this->servers.contains(announcement.server);
  if (!known && !announcement.limit) return false;
  this->announced_at[announcement.server] = now;
  if (!this->set_limit(announcement)) return false;
  this->announcements[announcement.server] = announcement.limit;
  return true;
}

void rate_limited_servers::on_planner_limits(
    const std::map<std::string, rate_limit>& limits, time_point now) {
  std::erase_if(this->servers, [&](const auto& each) {
    return !limits.contains(each.first) && !this->knows_better(each.first, now);
  });
  for (const auto& [server, limit] : limits) {
    if (!this->knows_better(server, now)) {
      this->set_limit({.server = server, .limit = limit.per_second});
    }
    const auto found = this->servers.find(server);
    if (found != this->servers.end()) {
      found->second.limit.waiting_routers = limit.waiting_routers;
    }
  }
}

void rate_limited_servers::announce_again(time_point now) {
  for (const auto& [server, each] : this->servers) {
    this->announcements[server] = each.limit.per_second;
    this->announced_at[server] = now;
  }
}

bool rate_limited_servers::set_limit(
    const rate_limit_announcement& announcement) {
  if (!announcement.limit) return this->servers.erase(announcement.server) > 0;
  const auto [known, added] = this->servers.try_emplace(announcement.server);
  auto& per_second = known->second.limit.per_second;
  return std::exchange(per_second, *announcement.limit) != per_second || added;
}

bool rate_limited_servers::knows_better(const std::string& server,
                                        time_point now) const {
  const auto found = this->announced_at.find(server);
  return found != this->announced_at.end() &&
         now < found->second + own_knowledge_age;
}

void rate_limited_servers::on_tokens(const rate_limit_tokens& granted,
                                     time_point now) {
  const auto found = this->servers.find(granted.server);
  if (found == this->servers.end()) return;
  for (int each = 0; each < granted.count; ++each) {
    found->second.token_ends.push_back(now + token_lifetime);
  }
}

std::optional<rate_limit> rate_limited_servers::limit(
    const std::string& server) const {
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) return std::nullopt;
  return found->second.limit;
}

int rate_limited_servers::tokens(const std::string& server,
                                 time_point now) const {
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) return 0;
  const auto& ends = found->second.token_ends;
  const auto first_valid = std::upper_bound(ends.begin(), ends.end(), now);
  return static_cast<int>(std::distance(first_valid, ends.end()));
}

bool rate_limited_servers::may_send(const std::string& server,
                                    time_point now) const {
  return !this->servers.contains(server) || this->tokens(server, now) > 0;
}

void rate_limited_servers::on_sent(const std::string& server, time_point now) {
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) return;
  auto& ends = found->second.token_ends;
  while (!ends.empty() && ends.front() <= now) ends.pop_front();
  if (!ends.empty()) ends.pop_front();
}

std::vector<rate_limit_announcement>
rate_limited_servers::take_announcements() {
  std::vector<rate_limit_announcement> taken;
  for (auto& [server, limit] : std::exchange(this->announcements, {})) {
    taken.push_back({.server = server, .limit = limit});
  }
  return taken;
}

void rate_limited_servers::forget(const std::string& server) {
  this->servers.erase(server);
  this->announced_at.erase(server);
}

}  // namespace boragehill::decide
