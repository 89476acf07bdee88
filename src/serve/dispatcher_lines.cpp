// The lines of requests that wait for a server, and who is sent next.

#include <algorithm>
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
  std::vector<demand_key> keys;
  for (const auto& [key, line] : this->lines) keys.push_back(key);
  for (const auto& key : keys) {
    const auto found = this->lines.find(key);
    if (found == this->lines.end()) continue;
    this->serve_line(found->second);
    if (found->second.empty()) this->drop_line(found);
  }
  this->serving = false;
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
    auto* server = this->find_server(*request, now);
    // One that may not go to all servers may lack one where others have one.
    const bool is_restricted = this->is_restricted(*request);
    if (!server && !is_restricted) this->room_seen.erase(key_of(*request));
    if (server && this->awaits_grant(*request, now)) {
      if (this->own_free_slots == 0) return;
      --this->own_free_slots;
    }
    // A router that was held up meets news of a server before it meets the
    // close of a caller that has left meanwhile: the server would run for
    // nobody. Such a request ends with that close, or with its limit.
    if (server && !this->may_start(*request, now)) {
      ++each;
      continue;
    }
    if (server && this->send(request, *server, now)) {
      each = line.erase(each);
      continue;
    }
    // The same is true of one that was refused before.
    if (!request->sends().was_attempted() && !is_restricted) return;
    ++each;
  }
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
  for (const bool late : {false, true}) {
    auto& line = found->second;
    for (auto each = line.begin(); each != line.end() && sent < grant.count;) {
      const auto request = *each;
      const bool is_next = request->is_late(now) == late &&
                           this->can_use_grant(server->second, *request, now);
      if (is_next && this->send(request, server->second, now)) {
        each = line.erase(each);
        ++sent;
        continue;
      }
      ++each;
    }
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
