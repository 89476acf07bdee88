#include "decide/home.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "decide/catalog.hpp"
#include "decide/target_name.hpp"

namespace boragehill::decide {

home::home(home_settings settings, crash_attribution_settings crash_settings)
    : settings(settings),
      crashes(crash_settings),
      mean_load_times{running_mean(settings.initial_load_time[0]),
                      running_mean(settings.initial_load_time[1]),
                      running_mean(settings.initial_load_time[2])} {}

wire::permit_answer home::request_permit(const wire::permit_request& request,
                                         time_point now) {
  if (const auto issued = this->issued_permits.find(request.attempt);
      issued != this->issued_permits.end()) {
    return issued->second.response;
  }
  wire::permit_answer queued{.attempt = request.attempt};
  queued.state = wire::permit_state::queued;
  if (this->target_by_attempt.contains(request.attempt)) return queued;

  home_target& target = this->find_or_add_target(request.target);
  target.last_arrival_at = now;
  if (std::holds_alternative<quarantined>(
          this->crashes.evaluate(request.fingerprint, now))) {
    return this->make_refusal(request, result_code::request_convicted,
                              milliseconds{0},
                              "this request crashed backend servers before");
  }
  const bool full = this->waiting_total >= this->settings.queue_total ||
                    target.queue.size() >= this->settings.queue_per_target;
  if (full) {
    const auto wait = this->expected_wait(request.target, request.adapter, now);
    return this->make_refusal(request, result_code::queue_full, wait,
                              "the queue of " + request.target + " is full");
  }
  waiting_request waiting{.request = request,
                          .deadline = now + milliseconds(request.time_left_ms),
                          .queued_at = now,
                          .sequence = this->next_sequence++};
  target.queue.insert(waiting);
  this->target_by_attempt[request.attempt] = request.target;
  ++this->waiting_total;
  this->dispatch(target, now);
  this->refuse_unreachable(target, now);

  // A decision made by the dispatch above is returned directly, which saves a
  // call to the entry router.
  const auto is_own = [&](const home_action& action) {
    const auto* notification = std::get_if<notify_entry>(&action);
    return notification != nullptr &&
           notification->response.attempt == request.attempt;
  };
  const auto found =
      std::find_if(this->actions.begin(), this->actions.end(), is_own);
  if (found != this->actions.end()) {
    wire::permit_answer response = std::get<notify_entry>(*found).response;
    this->actions.erase(found);
    return response;
  }
  queued.estimate_ms =
      this->expected_wait(request.target, request.adapter, now).count();
  return queued;
}

void home::withdraw(const std::string& attempt, time_point now) {
  this->release_permit(attempt);
  const auto at = this->target_by_attempt.find(attempt);
  if (at == this->target_by_attempt.end()) return;
  home_target& target = this->find_or_add_target(at->second);
  const auto found = std::find_if(
      target.queue.begin(), target.queue.end(),
      [&](const auto& waiting) { return waiting.request.attempt == attempt; });
  if (found != target.queue.end()) this->erase_waiting(target, found);
  this->add_note(target, attempt, "withdrawn by its entry router", now);
}

std::vector<std::string> home::on_renewal(
    const std::vector<std::string>& attempts) {
  std::vector<std::string> unknown;
  for (const auto& attempt : attempts) {
    if (this->target_by_attempt.contains(attempt)) continue;
    const auto issued = this->issued_permits.find(attempt);
    if (issued == this->issued_permits.end()) {
      unknown.push_back(attempt);
      continue;
    }
    const issued_permit& permit = issued->second;
    this->actions.emplace_back(
        notify_entry{permit.request.entry, permit.response});
  }
  return unknown;
}

void home::on_attempt_end(const wire::attempt_end& end, time_point now) {
  const auto found = this->issued_permits.find(end.attempt);
  const bool exclusive =
      found != this->issued_permits.end() && found->second.response.exclusive;
  home_target& target = this->find_or_add_target(end.target);
  if (found != this->issued_permits.end() &&
      end.outcome == wire::attempt_outcome::answered) {
    target.mean_run_time.add(std::chrono::duration_cast<milliseconds>(
        now - found->second.issued_at));
  }
  this->release_permit(end.attempt);

  if (end.outcome == wire::attempt_outcome::answered) {
    this->crashes.on_completed(end.fingerprint);
  }
  if (end.outcome == wire::attempt_outcome::crashed) {
    // The first crash implicates a request; a later one counts only if the
    // request ran alone on the server. Otherwise a harmless request that shared
    // two servers with poison requests would be quarantined.
    const bool counts =
        exclusive || std::holds_alternative<run_normally>(
                         this->crashes.evaluate(end.fingerprint, now));
    std::vector<std::string> quarantines;
    if (counts) quarantines = this->crashes.on_crash({end.fingerprint}, now);
    this->add_note(target, end.attempt,
                   "in flight when " + end.server + " crashed", now);
    for (auto& fingerprint : quarantines) {
      this->add_note(target, end.attempt, "convicted: crashed it alone", now);
      this->actions.emplace_back(share_quarantine{std::move(fingerprint)});
    }
  }
  const bool server_failed = end.outcome == wire::attempt_outcome::crashed ||
                             end.outcome == wire::attempt_outcome::lost;
  if (server_failed) this->on_suspected(end.server, now);
  this->dispatch(target, now);
}

void home::on_report(const wire::agent_report& report, time_point now) {
  const std::uint32_t own = this->in_flight(report.server);
  if (!this->known_servers[report.server].update(report, own, now)) return;
  for (const auto& replica : report.replicas) {
    const auto found = this->known_targets.find(model_target(replica.name));
    if (found == this->known_targets.end()) continue;
    this->dispatch(found->second, now);
  }
  if (report.model_server) return;
  const auto pool = this->known_targets.find(pool_target(report.pool));
  if (pool != this->known_targets.end()) this->dispatch(pool->second, now);
}

void home::on_load_response(const order_load& load,
                            const wire::wake_answer& response, time_point now) {
  home_target& target =
      this->find_or_add_target(model_target(load.order.model));
  const auto pending = this->find_pending_load(target, load);
  if (pending == target.pending_loads.end()) return;
  if (response.code == static_cast<int>(result_code::ok)) {
    pending->accepted = true;
    pending->expected_ready_at = now + milliseconds(response.ready_in_ms);
    return;
  }
  target.pending_loads.erase(pending);
  if (load.from_store) {
    this->actions.emplace_back(report_load_end{load.server, load.order.model});
  }
  const auto code = static_cast<result_code>(response.code);
  this->add_note(
      target, {},
      "wake refused by " + load.server + ": " + std::string(name_of(code)),
      now);
  home_server& server = this->known_servers[load.server];
  server.set_cooldown(now + this->settings.server_cooldown);
  this->dispatch(target, now);
}

void home::on_load_deferred(const order_load& load, milliseconds wait,
                            time_point now) {
  constexpr milliseconds shortest{100};
  constexpr milliseconds longest{500};
  home_target& target =
      this->find_or_add_target(model_target(load.order.model));
  const auto pending = this->find_pending_load(target, load);
  if (pending == target.pending_loads.end()) return;
  pending->deferred = true;
  pending->retry_at = now + std::clamp(wait, shortest, longest);
  pending->expected_ready_at = now + wait + this->load_time(pending->tier);
}

std::vector<pending_load>::iterator home::find_pending_load(
    home_target& target, const order_load& load) {
  return std::find_if(target.pending_loads.begin(), target.pending_loads.end(),
                      [&](const pending_load& pending) {
                        return pending.server == load.server &&
                               pending.adapter == load.order.adapter;
                      });
}

void home::on_load_order_lost(const order_load& load, time_point now) {
  this->on_load_response(
      load,
      {.code = static_cast<int>(result_code::peer_unreachable),
       .ready_in_ms = 0},
      now);
}

void home::on_servers(const std::string& name, std::vector<std::string> servers,
                      time_point now) {
  home_target& target = this->find_or_add_target(name);
  target.servers = std::move(servers);
  target.has_server_list = true;
  std::map<std::string, time_point> added_at;
  for (const auto& id : target.servers) {
    const auto previous = target.server_added_at.find(id);
    added_at[id] =
        previous == target.server_added_at.end() ? now : previous->second;
  }
  target.server_added_at = std::move(added_at);
  if (target.servers.size() >= target.wanted_grants) target.wanted_grants = 0;
  this->dispatch(target, now);
}

void home::on_draining(const std::string& server) {
  this->known_servers[server].set_draining();
}

void home::on_suspected(const std::string& server, time_point now) {
  home_server& known = this->known_servers[server];
  known.set_cooldown(now + this->settings.server_cooldown);
}

void home::on_entry_lost(const endpoint& entry, time_point now) {
  std::vector<std::string> lost;
  for (const auto& [name, target] : this->known_targets) {
    for (const auto& queued : target.queue) {
      if (queued.request.entry == entry) lost.push_back(queued.request.attempt);
    }
  }
  for (const auto& attempt : lost) this->withdraw(attempt, now);
}

void home::on_catalog(const catalog& published, time_point now) {
  for (auto& [name, target] : this->known_targets) {
    if (!is_model_target(name)) continue;
    const model_spec* spec = published.spec_of(model_of_target(name));
    target.spec = spec == nullptr ? std::nullopt : std::optional(*spec);
  }
  for (const auto& [base, spec] : published.models()) {
    this->find_or_add_target(model_target(base)).spec = spec;
  }
  for (auto& [name, target] : this->known_targets) this->dispatch(target, now);
}

void home::on_quarantine(const std::string& fingerprint, time_point now) {
  this->crashes.quarantine(fingerprint, now);
}

void home::tick(time_point now) {
  std::vector<std::string> expired;
  for (const auto& [attempt, permit] : this->issued_permits) {
    if (permit.expires_at <= now) expired.push_back(attempt);
  }
  for (const auto& attempt : expired) this->release_permit(attempt);
  for (auto& [name, target] : this->known_targets) {
    this->dispatch(target, now);
    this->refuse_unreachable(target, now);
  }
}

std::vector<home_action> home::take_actions() {
  return std::exchange(this->actions, {});
}

const home_target* home::target(const std::string& name) const {
  const auto found = this->known_targets.find(name);
  return found == this->known_targets.end() ? nullptr : &found->second;
}

home_target& home::find_or_add_target(const std::string& name) {
  const auto [at, added] = this->known_targets.try_emplace(
      name, name, this->settings.initial_run_time);
  (void)added;
  return at->second;
}

wire::permit_answer home::make_refusal(const wire::permit_request& request,
                                       result_code code,
                                       milliseconds retry_after,
                                       const std::string& reason) {
  wire::permit_answer response{.attempt = request.attempt};
  response.state = wire::permit_state::refused;
  response.code = static_cast<int>(code);
  response.retry_after_ms = retry_after.count();
  response.reason = reason;
  return response;
}

void home::refuse_waiting(home_target& target,
                          std::set<waiting_request, by_deadline>::iterator at,
                          result_code code, const std::string& reason,
                          time_point now) {
  const wire::permit_request request = at->request;
  this->erase_waiting(target, at);
  this->add_note(target, request.attempt, "refused: " + reason, now);
  const auto wait = this->expected_wait(target.name, request.adapter, now);
  this->actions.emplace_back(notify_entry{
      request.entry, this->make_refusal(request, code, wait, reason)});
}

std::set<waiting_request, by_deadline>::iterator home::erase_waiting(
    home_target& target, std::set<waiting_request, by_deadline>::iterator at) {
  this->target_by_attempt.erase(at->request.attempt);
  --this->waiting_total;
  std::erase_if(this->reserved_servers, [&](const auto& entry) {
    return entry.second == at->request.attempt;
  });
  return target.queue.erase(at);
}

void home::add_note(home_target& target, const std::string& attempt,
                    std::string text, time_point now) {
  target.notes.push_back({now, attempt, std::move(text)});
  if (target.notes.size() > this->settings.notes_per_target) {
    target.notes.pop_front();
  }
}

}  // namespace boragehill::decide
