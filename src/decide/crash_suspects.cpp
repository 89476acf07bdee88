#include "decide/crash_suspects.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace boragehill::decide {

void crash_suspects::on_interrupted(const std::string& server, milliseconds age,
                                    const sighting_map& found, time_point now,
                                    const std::string& report) {
  this->drop_expired(now);
  if (found.empty()) return;
  auto known = this->servers.find(server);
  if (known == this->servers.end()) {
    if (this->servers.size() >= max_servers) return;
    known = this->servers
                .emplace(server,
                         server_entry{.interrupted_at = now - age,
                                      .counted = !this->settings.confirms_end})
                .first;
  }
  sighting_map added;
  for (const auto& each : found) {
    if (known->second.suspects.size() >= max_suspects_of_server) break;
    if (known->second.suspects.insert(each).second) added.insert(each);
  }
  if (!known->second.counted) return;
  // One that runs on may interrupt others long before it crashes.
  const auto at =
      this->settings.confirms_end ? known->second.interrupted_at : now - age;
  this->add_crash(server, known->second, added, at, now);
  this->note_runs(server, found, report);
}

void crash_suspects::on_server_ended(const std::string& server,
                                     time_point now) {
  const auto known = this->servers.find(server);
  if (known == this->servers.end() || known->second.ended) return;
  known->second.ended = true;
  if (std::exchange(known->second.counted, true)) return;
  this->add_crash(server, known->second, known->second.suspects,
                  known->second.interrupted_at, now);
}

void crash_suspects::on_server_responded(const std::string& server,
                                         time_point now) {
  const auto known = this->servers.find(server);
  // After its end another lifetime may respond in its name.
  if (known == this->servers.end() || known->second.ended) return;
  if (now - known->second.interrupted_at < alive_after) return;
  if (known->second.counted) this->forget_crash(server);
  this->servers.erase(known);
}

bool crash_suspects::on_completed(const std::string& suspect) {
  const auto known = this->suspects.find(suspect);
  if (known == this->suspects.end()) return false;
  const bool was_quarantined = known->second.quarantined;
  this->suspects.erase(known);
  return was_quarantined;
}

void crash_suspects::on_completed_before(const std::string& suspect) {
  const auto known = this->suspects.find(suspect);
  if (known != this->suspects.end()) known->second.completed_before = true;
}

void crash_suspects::quarantine(const std::string& suspect, time_point since) {
  auto& known = this->suspects[suspect];
  if (known.quarantined) return;
  known.quarantined = true;
  known.recorded_at = since;
  this->evict_excess();
}

std::vector<std::string> crash_suspects::update(time_point now) {
  this->drop_expired(now);
  for (auto& [suspect, known] : this->suspects) {
    if (known.quarantined || known.asked) continue;
    known.asked = count(known) + 1 >= crash_limit ||
                  count_runs(known) >= this->settings.runs_to_ask;
    known.asked_at = now;
  }
  std::vector<std::string> found;
  while (true) {
    const auto next = this->next_to_quarantine(now);
    if (next.empty()) return found;
    for (const auto& suspect : next) {
      auto& known = this->suspects.at(suspect);
      known.quarantined = true;
      known.recorded_at = now;
      found.push_back(suspect);
    }
    for (const auto& suspect : next) {
      for (const auto& each : this->suspects.at(suspect).crashes) {
        this->explain_crash(each.server);
      }
    }
  }
}

std::vector<std::string> crash_suspects::quarantined(time_point now) const {
  std::vector<std::string> found;
  for (const auto& [suspect, known] : this->suspects) {
    if (known.quarantined && holds(known, now)) found.push_back(suspect);
  }
  return found;
}

std::map<std::string, time_point> crash_suspects::quarantined_since(
    time_point now) const {
  std::map<std::string, time_point> found;
  for (const auto& [suspect, known] : this->suspects) {
    if (!known.quarantined || !holds(known, now)) continue;
    found.emplace(suspect, known.recorded_at);
  }
  return found;
}

bool crash_suspects::is_quarantined(const std::string& suspect,
                                    time_point now) const {
  const auto found = this->suspects.find(suspect);
  return found != this->suspects.end() && found->second.quarantined &&
         holds(found->second, now);
}

std::map<std::string, time_point> crash_suspects::suspected(
    time_point now) const {
  std::map<std::string, time_point> found;
  for (const auto& [suspect, known] : this->suspects) {
    if (!holds(known, now) || (!known.asked && !known.quarantined)) continue;
    const auto since =
        known.crashes.empty() ? known.recorded_at : known.crashes.front().at;
    found.emplace(suspect, since);
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
    const std::string& suspect) const {
  std::vector<std::string> found;
  const auto known = this->suspects.find(suspect);
  if (known == this->suspects.end()) return found;
  for (const auto& each : known->second.crashes) found.push_back(each.server);
  return found;
}

std::size_t crash_suspects::explained_of(const std::string& suspect) const {
  const auto known = this->suspects.find(suspect);
  if (known == this->suspects.end()) return 0;
  const auto& crashes = known->second.crashes;
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [](const crash& each) { return each.explained; }));
}

bool crash_suspects::is_suspected(const std::string& suspect,
                                  time_point now) const {
  const auto found = this->suspects.find(suspect);
  return found != this->suspects.end() && holds(found->second, now) &&
         (found->second.asked || found->second.quarantined);
}

bool crash_suspects::holds(const suspect_entry& known, time_point now) {
  return now - known.recorded_at <= retention;
}

bool crash_suspects::is_same_crash(time_point last, const crash& next) {
  if (next.at - last >= same_crash) return false;
  return !next.began || *next.began + report_jitter < last;
}

std::size_t crash_suspects::count(const suspect_entry& known) {
  return count_if(known, [](const crash&) { return true; });
}

std::size_t crash_suspects::count_unexplained(const suspect_entry& known) {
  return count_if(known, [](const crash& each) { return !each.explained; });
}

template <class Predicate>
std::size_t crash_suspects::count_if(const suspect_entry& known,
                                     Predicate counts) {
  std::size_t crashes = 0;
  time_point last;
  for (const auto& each : known.crashes) {
    if (!counts(each) || (crashes > 0 && is_same_crash(last, each))) continue;
    ++crashes;
    last = each.at;
  }
  return crashes;
}

bool crash_suspects::reaches_limit(const suspect_entry& known) {
  const auto unexplained = count_unexplained(known);
  if (unexplained >= crash_limit) return true;
  return count(known) >=
         (unexplained > 0 ? partly_explained_limit : explained_limit);
}

int crash_suspects::count_runs(const suspect_entry& known) {
  int runs = 0;
  for (const auto& each : known.crashes) {
    for (const auto& [report, broken_off] : each.runs) runs += broken_off;
  }
  return runs;
}

void crash_suspects::note_runs(const std::string& server,
                               const sighting_map& found,
                               const std::string& report) {
  for (const auto& [suspect, sighting] : found) {
    const auto known = this->suspects.find(suspect);
    if (known == this->suspects.end()) continue;
    for (auto& each : known->second.crashes) {
      if (each.server != server) continue;
      if (each.runs.size() >= max_reports_of_crash) continue;
      auto& runs = each.runs[report];
      runs = std::max(runs, sighting.runs);
    }
  }
}

void crash_suspects::add_crash(const std::string& server,
                               const server_entry& known,
                               const sighting_map& found, time_point at,
                               time_point now) {
  const bool explained = this->is_explained(known);
  if (explained) this->explain_crash(server);
  if (explained && !this->settings.keeps_explained) return;
  for (const auto& [suspect, sighting] : found) {
    auto& entry = this->suspects[suspect];
    if (entry.quarantined) continue;
    const bool known_crash = std::any_of(
        entry.crashes.begin(), entry.crashes.end(),
        [&server](const crash& each) { return each.server == server; });
    if (known_crash) continue;
    make_room(entry);
    if (entry.crashes.size() >= max_crashes_of_suspect) continue;
    entry.position = sighting.position;
    entry.recorded_at = now;
    crash added{
        .server = server, .at = at + sighting.delay, .explained = explained};
    if (sighting.ran) added.began = added.at - *sighting.ran;
    const auto after = std::upper_bound(
        entry.crashes.begin(), entry.crashes.end(), added.at,
        [](time_point at, const crash& each) { return at < each.at; });
    entry.crashes.insert(after, std::move(added));
  }
  this->evict_excess();
}

void crash_suspects::make_room(suspect_entry& known) {
  auto& crashes = known.crashes;
  if (crashes.size() < max_crashes_of_suspect) return;
  const auto first_of_two =
      std::adjacent_find(crashes.begin(), crashes.end(),
                         [](const crash& left, const crash& right) {
                           return is_same_crash(left.at, right);
                         });
  if (first_of_two != crashes.end()) crashes.erase(std::next(first_of_two));
}

bool crash_suspects::is_explained(const server_entry& known) const {
  return std::any_of(
      known.suspects.begin(), known.suspects.end(), [&](const auto& each) {
        const auto found = this->suspects.find(each.first);
        return found != this->suspects.end() && found->second.quarantined;
      });
}

std::vector<std::string> crash_suspects::next_to_quarantine(
    time_point now) const {
  // Of parts that were in flight at equally many crashes, one further behind in
  // the prompt is shared by fewer requests.
  const auto rank = [](const suspect_entry& known) {
    return std::tuple{!known.completed_before, count_unexplained(known),
                      count(known), known.position};
  };
  std::vector<std::string> best;
  bool heard = true;
  for (const auto& [suspect, known] : this->suspects) {
    if (known.quarantined || !known.asked || !reaches_limit(known)) continue;
    if (!best.empty()) {
      const auto best_rank = rank(this->suspects.at(best.front()));
      if (rank(known) < best_rank) continue;
      if (rank(known) > best_rank) best.clear();
    }
    if (best.empty()) heard = true;
    heard = heard && now - known.asked_at >= this->settings.hearing;
    best.push_back(suspect);
  }
  // Others wait meanwhile: it may explain their crashes.
  if (!heard) return {};
  return best;
}

void crash_suspects::explain_crash(const std::string& server) {
  if (!this->settings.keeps_explained) return this->forget_crash(server);
  for (auto& [suspect, known] : this->suspects) {
    if (known.quarantined) continue;
    for (auto& each : known.crashes) {
      if (each.server == server) each.explained = true;
    }
  }
}

void crash_suspects::forget_crash(const std::string& server) {
  for (auto& [suspect, known] : this->suspects) {
    if (known.quarantined) continue;
    std::erase_if(known.crashes, [&server](const crash& each) {
      return each.server == server;
    });
  }
  std::erase_if(this->suspects, [](const auto& each) {
    return !each.second.quarantined && each.second.crashes.empty();
  });
}

void crash_suspects::drop_expired(time_point now) {
  std::erase_if(this->suspects, [now](const auto& each) {
    return now - each.second.recorded_at > retention;
  });
  std::erase_if(this->servers, [now](const auto& each) {
    return now - each.second.interrupted_at > confirmation_limit;
  });
}

void crash_suspects::evict_excess() {
  // A suspect with few crashes is most likely harmless, so it is evicted first;
  // of equal counts the oldest.
  while (this->suspects.size() > max_suspects) {
    this->suspects.erase(std::min_element(
        this->suspects.begin(), this->suspects.end(),
        [](const auto& left, const auto& right) {
          const auto rank = [](const suspect_entry& known) {
            return std::tuple{known.quarantined, known.crashes.size(),
                              known.recorded_at};
          };
          return rank(left.second) < rank(right.second);
        }));
  }
}

}  // namespace boragehill::decide
