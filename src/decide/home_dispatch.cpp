// The part of home that issues permits: chooses a backend server for each
// waiting request.

#include <algorithm>

#include "decide/home.hpp"
#include "decide/name_list.hpp"
#include "decide/target_name.hpp"

namespace boragehill::decide {

void home::dispatch(home_target& target, time_point now) {
  auto at = target.queue.begin();
  std::size_t skipped = 0;
  while (at != target.queue.end() && skipped < this->settings.scan_limit) {
    if (at->deadline <= now) {
      const auto expired = at++;
      this->refuse_waiting(target, expired, result_code::deadline_passed,
                           "its deadline passed while it waited", now);
      continue;
    }
    if (this->try_issue(target, *at, now)) {
      at = this->erase_waiting(target, at);
      continue;
    }
    ++skipped;
    ++at;
  }
  this->schedule_loads(target, now);
}

bool home::try_issue(home_target& target, const waiting_request& waiting,
                     time_point now) {
  const auto isolation =
      this->crashes.evaluate(waiting.request.fingerprint, now);
  const bool exclusive = std::holds_alternative<run_isolated>(isolation);
  // Implicated requests run one at a time, so that a crash identifies the one
  // that caused it.
  if (exclusive && this->exclusive_targets.contains(target.name)) return false;
  const chosen_server chosen = this->choose_server(target, waiting, now);
  if (chosen.server == nullptr) return false;
  if (exclusive && this->in_flight(chosen.id) > 0) {
    // Without the reservation other requests might keep every server busy, and
    // this one would never run alone.
    this->reserved_servers.emplace(chosen.id, waiting.request.attempt);
    return false;
  }
  this->issue_permit(target, waiting, chosen, exclusive, now);
  return true;
}

home::chosen_server home::choose_server(const home_target& target,
                                        const waiting_request& waiting,
                                        time_point now) const {
  chosen_server best;
  std::uint32_t best_load = 0;
  // If all servers are excluded the exclusion is ignored: running on one of
  // them again is better than waiting until the deadline.
  const bool all_excluded = std::all_of(
      target.servers.begin(), target.servers.end(),
      [&](const auto& id) { return contains(waiting.request.excluded, id); });
  for (const auto& id : target.servers) {
    if (!all_excluded && contains(waiting.request.excluded, id)) continue;
    const home_server* server = this->find_usable_server(id, now);
    if (server == nullptr) continue;
    if (!this->can_run(target, *server, waiting.request)) continue;
    if (this->exclusive_servers.contains(id)) continue;
    const auto reservation = this->reserved_servers.find(id);
    const bool is_reserved_for_other =
        reservation != this->reserved_servers.end() &&
        reservation->second != waiting.request.attempt;
    if (is_reserved_for_other) continue;
    // Reports lag, so this home counts its own permits itself. By the report
    // alone, a server that was full when it reported would be left idle until
    // its next report.
    const std::uint32_t load =
        server->running_for_others() + this->in_flight(id);
    if (load >= server->report().slots) continue;
    if (best.server != nullptr && load >= best_load) continue;
    best = {id, server};
    best_load = load;
  }
  return best;
}

const home_server* home::find_usable_server(const std::string& id,
                                            time_point now) const {
  const auto known = this->known_servers.find(id);
  if (known == this->known_servers.end()) return nullptr;
  const bool usable =
      known->second.is_usable(now, this->settings.report_timeout);
  return usable ? &known->second : nullptr;
}

bool home::can_run(const home_target& target, const home_server& server,
                   const wire::permit_request& request) const {
  if (!is_model_target(target.name)) return true;
  const auto* replica = server.replica(model_of_target(target.name));
  if (replica == nullptr) return false;
  if (replica->state != wire::replica_state::ready) return false;
  return request.adapter.empty() ||
         contains(replica->adapters, request.adapter);
}

std::uint32_t home::in_flight(const std::string& server) const {
  const auto found = this->in_flight_by_server.find(server);
  return found == this->in_flight_by_server.end() ? 0 : found->second;
}

void home::issue_permit(home_target& target, const waiting_request& waiting,
                        const chosen_server& chosen, bool exclusive,
                        time_point now) {
  const wire::agent_report& report = chosen.server->report();
  wire::permit_answer response{.attempt = waiting.request.attempt};
  response.state = wire::permit_state::granted;
  response.server = chosen.id;
  response.data = report.data;
  response.control = report.control;
  response.fence = report.incarnation != 0 ? report.incarnation : report.fence;
  response.exclusive = exclusive;
  // On the agent's clock, so that the agent refuses the attempt if its sender
  // was paused and it arrives too late.
  response.permit_end_ms =
      chosen.server->agent_clock(now) + this->settings.permit_allowance.count();
  const auto grace_period = this->settings.permit_allowance * 2;
  this->issued_permits[response.attempt] = {
      .request = waiting.request,
      .response = response,
      .issued_at = now,
      .expires_at = waiting.deadline + grace_period};
  ++this->in_flight_by_server[chosen.id];
  if (exclusive) {
    this->exclusive_servers.insert(chosen.id);
    this->exclusive_targets.insert(target.name);
  }
  this->add_note(target, response.attempt, "sent to " + chosen.id, now);
  this->actions.emplace_back(notify_entry{waiting.request.entry, response});
}

void home::release_permit(const std::string& attempt) {
  const auto found = this->issued_permits.find(attempt);
  if (found == this->issued_permits.end()) return;
  const issued_permit& permit = found->second;
  if (permit.response.exclusive) {
    this->exclusive_servers.erase(permit.response.server);
    this->exclusive_targets.erase(permit.request.target);
  }
  const auto count = this->in_flight_by_server.find(permit.response.server);
  if (count != this->in_flight_by_server.end() && --count->second == 0) {
    this->in_flight_by_server.erase(count);
  }
  this->issued_permits.erase(found);
}

}  // namespace boragehill::decide
