#include "decide/crash_suspects.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace boragehill::decide {

void crash_suspects::on_interrupted(const interruption& found, time_point now) {
  this->drop_expired(now);
  if (found.parts.empty()) return;
  auto known = this->servers.find(found.server);
  if (known == this->servers.end()) {
    if (this->servers.size() >= max_servers) return;
    known = this->servers
                .emplace(found.server,
                         server_entry{.interrupted_at = now - found.age})
                .first;
  }
  std::map<std::string, int> added;
  for (const auto& [part, position] : found.parts) {
    if (known->second.parts.size() >= max_parts_of_server) break;
    if (known->second.parts.emplace(part, position).second) {
      added.emplace(part, position);
    }
  }
  if (known->second.ended) {
    this->add_crash(found.server, known->second, added, now);
  }
}

void crash_suspects::on_server_ended(const std::string& server,
                                     time_point now) {
  const auto known = this->servers.find(server);
  if (known == this->servers.end() || known->second.ended) return;
  known->second.ended = true;
  this->add_crash(server, known->second, known->second.parts, now);
}

void crash_suspects::on_server_responded(const std::string& server,
                                         time_point now) {
  const auto known = this->servers.find(server);
  if (known == this->servers.end() || known->second.ended) return;
  if (now - known->second.interrupted_at < alive_after) return;
  this->servers.erase(known);
}

bool crash_suspects::on_completed(const std::string& part) {
  const auto known = this->parts.find(part);
  if (known == this->parts.end()) return false;
  const bool was_quarantined = known->second.quarantined;
  this->parts.erase(known);
  return was_quarantined;
}

void crash_suspects::on_completed_before(const std::string& part) {
  const auto known = this->parts.find(part);
  if (known != this->parts.end()) known->second.completed_before = true;
}

void crash_suspects::quarantine(const std::string& part, time_point now) {
  auto& known = this->parts[part];
  // An existing quarantine isn't renewed, so that it expires.
  if (known.quarantined) return;
  known.quarantined = true;
  known.recorded_at = now;
  this->evict_excess();
}

std::vector<std::string> crash_suspects::update(time_point now) {
  this->drop_expired(now);
  for (auto& [part, known] : this->parts) {
    if (known.quarantined || known.asked) continue;
    known.asked = count(known) + 1 >= crash_limit;
    known.asked_at = now;
  }
  std::vector<std::string> found;
  while (true) {
    const auto next = this->next_to_quarantine(now);
    if (next.empty()) return found;
    for (const auto& part : next) {
      auto& known = this->parts.at(part);
      known.quarantined = true;
      known.recorded_at = now;
      found.push_back(part);
    }
    for (const auto& part : next) {
      for (const auto& each : this->parts.at(part).crashes) {
        this->forget_crash(each.server);
      }
    }
  }
}

std::vector<std::string> crash_suspects::quarantined(time_point now) const {
  std::vector<std::string> found;
  for (const auto& [part, known] : this->parts) {
    const bool holds = now - known.recorded_at <= retention;
    if (known.quarantined && holds) found.push_back(part);
  }
  return found;
}

std::map<std::string, time_point> crash_suspects::suspected(
    time_point now) const {
  std::map<std::string, time_point> found;
  for (const auto& [part, known] : this->parts) {
    const bool holds = now - known.recorded_at <= retention;
    if (!holds || (!known.asked && !known.quarantined)) continue;
    const auto since =
        known.crashes.empty() ? known.recorded_at : known.crashes.front().at;
    found.emplace(part, since);
  }
  return found;
}

std::vector<std::string> crash_suspects::unconfirmed() const {
  std::vector<std::string> found;
  for (const auto& [server, known] : this->servers) {
    if (!known.ended) found.push_back(server);
  }
  return found;
}

std::vector<std::string> crash_suspects::servers_of(
    const std::string& part) const {
  std::vector<std::string> found;
  const auto known = this->parts.find(part);
  if (known == this->parts.end()) return found;
  for (const auto& each : known->second.crashes) found.push_back(each.server);
  return found;
}

std::size_t crash_suspects::count(const part_entry& known) {
  std::size_t crashes = 0;
  time_point last;
  for (const auto& each : known.crashes) {
    if (crashes > 0 && each.at - last < same_crash) continue;
    ++crashes;
    last = each.at;
  }
  return crashes;
}

void crash_suspects::add_crash(const std::string& server,
                               const server_entry& known,
                               const std::map<std::string, int>& parts,
                               time_point now) {
  if (this->is_explained(known)) return this->forget_crash(server);
  for (const auto& [part, position] : parts) {
    auto& entry = this->parts[part];
    const bool known_crash = std::any_of(
        entry.crashes.begin(), entry.crashes.end(),
        [&server](const crash& each) { return each.server == server; });
    if (known_crash || entry.crashes.size() >= max_crashes_of_part) continue;
    entry.position = position;
    entry.recorded_at = now;
    const auto after = std::upper_bound(
        entry.crashes.begin(), entry.crashes.end(), known.interrupted_at,
        [](time_point at, const crash& each) { return at < each.at; });
    entry.crashes.insert(after, {server, known.interrupted_at});
  }
  this->evict_excess();
}

bool crash_suspects::is_explained(const server_entry& known) const {
  return std::any_of(
      known.parts.begin(), known.parts.end(), [&](const auto& each) {
        const auto found = this->parts.find(each.first);
        return found != this->parts.end() && found->second.quarantined;
      });
}

std::vector<std::string> crash_suspects::next_to_quarantine(
    time_point now) const {
  // Of parts that were in flight at equally many crashes, one further behind in
  // the prompt is shared by fewer requests.
  const auto rank = [](const part_entry& known) {
    return std::tuple{!known.completed_before, count(known), known.position};
  };
  std::vector<std::string> best;
  bool heard = true;
  for (const auto& [part, known] : this->parts) {
    if (known.quarantined || !known.asked || count(known) < crash_limit) {
      continue;
    }
    if (!best.empty()) {
      const auto best_rank = rank(this->parts.at(best.front()));
      if (rank(known) < best_rank) continue;
      if (rank(known) > best_rank) best.clear();
    }
    if (best.empty()) heard = true;
    heard = heard && now - known.asked_at >= hearing;
    best.push_back(part);
  }
  // Others wait meanwhile: it may explain their crashes.
  if (!heard) return {};
  return best;
}

void crash_suspects::forget_crash(const std::string& server) {
  for (auto& [part, known] : this->parts) {
    if (known.quarantined) continue;
    std::erase_if(known.crashes, [&server](const crash& each) {
      return each.server == server;
    });
  }
  std::erase_if(this->parts, [](const auto& each) {
    return !each.second.quarantined && each.second.crashes.empty();
  });
}

void crash_suspects::drop_expired(time_point now) {
  std::erase_if(this->parts, [now](const auto& each) {
    return now - each.second.recorded_at > retention;
  });
  std::erase_if(this->servers, [now](const auto& each) {
    return now - each.second.interrupted_at > confirmation_limit;
  });
}

void crash_suspects::evict_excess() {
  // A part with few crashes is most likely harmless, so it is evicted first; of
  // equal counts the oldest.
  while (this->parts.size() > max_parts) {
    this->parts.erase(std::min_element(
        this->parts.begin(), this->parts.end(),
        [](const auto& left, const auto& right) {
          const auto rank = [](const part_entry& known) {
            return std::tuple{known.quarantined, known.crashes.size(),
                              known.recorded_at};
          };
          return rank(left.second) < rank(right.second);
        }));
  }
}

}  // namespace boragehill::decide
