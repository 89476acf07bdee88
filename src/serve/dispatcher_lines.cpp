// The lines of requests that wait for a server, and who is sent next.

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "kernel/event_log.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

/// The planner grants a free slot within some ten milliseconds; if it doesn't,
/// its view differs from this router's.
constexpr milliseconds grant_patience{250};

bool more_urgent(const exchange& left, const exchange& right) {
  if (left.rank() != right.rank()) return left.rank() < right.rank();
  return left.request().received < right.request().received;
}

}  // namespace

void dispatcher::wait_in_line(const std::shared_ptr<exchange>& request) {
  auto& line = this->lines[key_of(*request)];
  const auto behind = std::find_if(line.begin(), line.end(),
                                   [&](const std::shared_ptr<exchange>& each) {
                                     return more_urgent(*request, *each);
                                   });
  line.insert(behind, request);
  const auto now = time_point::clock::now();
  for (auto& [id, state] : this->servers) {
    if (state.silence.is_interrupted()) this->judge_silence(state, now);
  }
  if (this->waits) this->waits();
}

bool dispatcher::is_awaited(const server_state& server) const {
  return std::any_of(
      this->lines.begin(), this->lines.end(), [&](const auto& line) {
        return std::any_of(line.second.begin(), line.second.end(),
                           [&](const std::shared_ptr<exchange>& each) {
                             return this->holds_what_it_needs(server, *each);
                           });
      });
}

bool dispatcher::retry_waits() const {
  return std::any_of(
      this->lines.begin(), this->lines.end(), [](const auto& line) {
        return std::any_of(line.second.begin(), line.second.end(),
                           [](const std::shared_ptr<exchange>& each) {
                             return each->holds_retry();
                           });
      });
}

void dispatcher::withdraw(const exchange& request) {
  const auto found = this->lines.find(key_of(request));
  if (found == this->lines.end()) return;
  std::erase_if(found->second, [&](const std::shared_ptr<exchange>& each) {
    return each.get() == &request;
  });
  if (found->second.empty()) this->drop_line(found);
}

void dispatcher::drop_line(line_map::iterator line) {
  this->room_seen.erase(line->first);
  this->lines.erase(line);
}

void dispatcher::serve_waiting() {
  // Sending may end a request at once, which comes back here.
  if (this->serving || this->sending_paused) return;
  this->serving = true;
  if (this->has_accounts()) {
    this->serve_in_order();
  } else {
    this->serve_lines();
  }
  this->serving = false;
}

void dispatcher::serve_lines() {
  std::vector<demand_key> keys;
  for (const auto& [key, line] : this->lines) keys.push_back(key);
  for (const auto& key : keys) {
    const auto found = this->lines.find(key);
    if (found == this->lines.end()) continue;
    this->serve_line(found->second);
    if (found->second.empty()) this->drop_line(found);
  }
}

void dispatcher::serve_in_order() {
  const auto now = time_point::clock::now();
  std::vector<std::shared_ptr<exchange>> waiting;
  for (const auto& [key, line] : this->lines) {
    waiting.insert(waiting.end(), line.begin(), line.end());
  }
  std::set<demand_key> without_room;
  for (const auto& request : this->ordered(std::move(waiting), now)) {
    const auto key = key_of(*request);
    if (without_room.contains(key)) continue;
    const auto found = this->lines.find(key);
    if (found == this->lines.end()) continue;
    auto& line = found->second;
    // One that was sent may have ended others.
    const auto position = std::find(line.begin(), line.end(), request);
    if (position == line.end() || this->lacks_quota(*request, now)) continue;
    const auto step = this->offer_server(request, now);
    if (step == line_step::waits) without_room.insert(key);
    if (step != line_step::sent) continue;
    std::erase(line, request);
    if (line.empty()) this->drop_line(found);
  }
}

std::vector<std::shared_ptr<exchange>> dispatcher::ordered(
    std::vector<std::shared_ptr<exchange>> waiting, time_point now) const {
  if (!this->has_accounts()) {
    // Those that can still be in time go first.
    std::stable_partition(
        waiting.begin(), waiting.end(),
        [&](const auto& each) { return !each->is_late(now); });
    return waiting;
  }
  std::vector<decide::waiting_candidate> candidates;
  candidates.reserve(waiting.size());
  for (const auto& each : waiting)
    candidates.push_back(waiting_candidate_of(*each));
  std::vector<std::shared_ptr<exchange>> sorted;
  sorted.reserve(waiting.size());
  for (const auto index :
       decide::waiting_order(candidates, this->shares, now)) {
    sorted.push_back(std::move(waiting[index]));
  }
  return sorted;
}

decide::waiting_candidate dispatcher::waiting_candidate_of(
    const exchange& request) {
  return {.account = account_name(request),
          .rank = request.rank(),
          .received = request.request().received,
          .objective = request.route()->latency_objective,
          .limit = request.due()};
}

bool dispatcher::has_accounts() const {
  return this->known_catalog && !this->known_catalog->accounts.empty();
}

void dispatcher::serve_line(waiting_line& line) {
  // Those that can still be in time go first.
  for (const bool late : {false, true}) this->serve_line(line, late);
}

void dispatcher::serve_line(waiting_line& line, bool late) {
  const auto now = time_point::clock::now();
  for (auto each = line.begin(); each != line.end();) {
    const auto request = *each;
    if (request->is_late(now) != late) {
      ++each;
      continue;
    }
    switch (this->offer_server(request, now)) {
      case line_step::sent:
        each = line.erase(each);
        break;
      case line_step::skipped:
        ++each;
        break;
      case line_step::waits:
        return;
    }
  }
}

dispatcher::line_step dispatcher::offer_server(
    const std::shared_ptr<exchange>& request, time_point now) {
  auto* server = this->find_server(*request, now);
  // One that may not go to all servers may lack one where others have one.
  const bool is_restricted = this->is_restricted(*request);
  if (!server && !is_restricted) this->room_seen.erase(key_of(*request));
  if (server && this->awaits_grant(*request, now)) {
    if (this->own_free_slots == 0) return line_step::waits;
    --this->own_free_slots;
  }
  // A router that was held up meets news of a server before it meets the
  // close of a caller that has left meanwhile: the server would run for
  // nobody. Such a request ends with that close, or with its limit.
  if (server && !this->may_start(*request, now)) return line_step::skipped;
  if (server && this->send(request, *server, now)) return line_step::sent;
  // The same is true of one that was refused before.
  const bool any_server = !request->sends().was_attempted() && !is_restricted;
  return any_server ? line_step::waits : line_step::skipped;
}

bool dispatcher::awaits_grant(const exchange& request, time_point now) {
  // One that a server rejected goes to another one that this router knows of;
  // a rate limit has tokens of its own.
  const bool is_granted =
      this->planner_linked && !request.fields().model.empty() &&
      !request.sends().was_attempted() && this->rate_limited.empty() &&
      !this->is_restricted(request);
  if (!is_granted) return false;
  const auto seen = this->room_seen.try_emplace(key_of(request), now).first;
  return now < seen->second + grant_patience;
}

void dispatcher::reuse_slot(const server_state& server) {
  // The request that left is not among them any more.
  const int requests =
      static_cast<int>(server.requests.size()) + server.other_requests + 1;
  const bool was_full =
      server.entry.slots > 0 && requests >= server.entry.slots;
  // Others may wait for the slot.
  if (was_full && this->planner_linked && this->waits) this->waits();
  if (this->lines.empty()) return;
  this->own_free_slots = 1;
  this->serve_waiting();
  this->own_free_slots = 0;
}

bool dispatcher::can_use_grant(const server_state& server,
                               const exchange& request, time_point now) {
  // A server that was full when it rejected the request has a free slot now; it
  // may be the only one with the model.
  return this->holds_what_it_needs(server, request) &&
         !this->may_be_gone(server, request, now) &&
         !server.silence.is_suspected() &&
         !this->reachability.suspect(server.entry.id, now) &&
         !this->resting.until(server.entry.id, now) &&
         this->rate_limited.may_send(server.entry.id, now) &&
         this->may_start(request, now);
}

void dispatcher::use_grants(const std::vector<decide::slot_grant>& grants) {
  // Sending may end a request at once, which would serve the lines.
  if (this->serving || this->sending_paused) return;
  this->serving = true;
  bool any_used = false;
  for (const auto& each : grants) any_used = this->use_grant(each) || any_used;
  this->serving = false;
  // The planner keeps the slots until it hears what became of them; unused ones
  // can wait for the next report, else they would be granted again at once.
  if (any_used && this->waits) this->waits();
}

bool dispatcher::use_grant(const decide::slot_grant& grant) {
  const auto server = this->servers.find(grant.server);
  if (server == this->servers.end()) return false;
  const auto found = this->lines.find(
      {server->second.entry.service, grant.model, grant.adapter});
  if (found == this->lines.end()) return false;
  const auto now = time_point::clock::now();
  this->judge_silence(server->second, now);
  int sent = 0;
  auto& line = found->second;
  for (const auto& request : this->ordered({line.begin(), line.end()}, now)) {
    if (sent >= grant.count) break;
    if (!this->can_use_grant(server->second, *request, now)) continue;
    if (!this->send(request, server->second, now)) continue;
    std::erase(line, request);
    ++sent;
  }
  kernel::log_event(kernel::event::slots_granted,
                    {{"server", grant.server},
                     {"model", grant.model},
                     {"round", this->grant_round},
                     {"slots", grant.count},
                     {"sent", sent},
                     {"waiting", found->second.size()}});
  if (found->second.empty()) this->drop_line(found);
  return sent > 0;
}

}  // namespace boragehill::serve
