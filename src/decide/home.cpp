#include "decide/home.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "decide/catalog.hpp"
#include "decide/target_name.hpp"

namespace boragehill::decide {

home::home(home_settings settings, crash_attribution_settings strike_limits)
    : settings(settings),
      implicated(strike_limits),
      mean_load_times{running_mean(settings.initial_load_time[0]),
                      running_mean(settings.initial_load_time[1]),
                      running_mean(settings.initial_load_time[2])} {}

wire::permit_answer home::request_permit(const wire::permit_request& ask,
                                         time_point now) {
  if (const auto out = this->issued_permits.find(ask.attempt);
      out != this->issued_permits.end()) {
    return out->second.response;
  }
  wire::permit_answer queued{.attempt = ask.attempt};
  queued.state = wire::permit_state::queued;
  if (this->target_by_attempt.contains(ask.attempt)) return queued;

  home_target& target = this->find_or_add_target(ask.target);
  target.last_arrival_at = now;
  if (std::holds_alternative<quarantined>(
          this->implicated.evaluate(ask.fingerprint, now))) {
    return this->make_refusal(ask, result_code::request_convicted,
                              milliseconds{0},
                              "this request crashed backend servers before");
  }
  const bool full = this->waiting_total >= this->settings.queue_total ||
                    target.queue.size() >= this->settings.queue_per_target;
  if (full) {
    const auto wait = this->expected_wait(ask.target, ask.adapter, now);
    return this->make_refusal(ask, result_code::queue_full, wait,
                              "the queue of " + ask.target + " is full");
  }
  waiting_request waiting{.request = ask,
                          .deadline = now + milliseconds(ask.time_left_ms),
                          .queued_at = now,
                          .sequence = this->next_sequence++};
  target.queue.insert(waiting);
  this->target_by_attempt[ask.attempt] = ask.target;
  ++this->waiting_total;
  this->dispatch_queue(target, now);
  this->refuse_unreachable(target, now);

  // A decision made by the dispatch above is returned directly, which saves a
  // call to the entry router.
  const auto own = [&](const home_action& action) {
    const auto* told = std::get_if<notify_entry>(&action);
    return told != nullptr && told->response.attempt == ask.attempt;
  };
  const auto found =
      std::find_if(this->actions.begin(), this->actions.end(), own);
  if (found != this->actions.end()) {
    wire::permit_answer answer = std::get<notify_entry>(*found).response;
    this->actions.erase(found);
    return answer;
  }
  queued.estimate_ms =
      this->expected_wait(ask.target, ask.adapter, now).count();
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
    const auto out = this->issued_permits.find(attempt);
    if (out == this->issued_permits.end()) {
      unknown.push_back(attempt);
      continue;
    }
    const issued_permit& permit = out->second;
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
    this->implicated.on_completed(end.fingerprint);
  }
  if (end.outcome == wire::attempt_outcome::crashed) {
    // An implicated request is quarantined only for a crash while it ran alone
    // on a server. Otherwise a harmless request that shared two servers with
    // poison requests would be refused permanently.
    const bool counts =
        exclusive || std::holds_alternative<run_normally>(
                         this->implicated.evaluate(end.fingerprint, now));
    std::vector<std::string> guilty;
    if (counts) guilty = this->implicated.on_crash({end.fingerprint}, now);
    this->add_note(target, end.attempt,
                   "in flight when " + end.server + " crashed", now);
    for (auto& fingerprint : guilty) {
      this->add_note(target, end.attempt, "convicted: crashed it alone", now);
      this->actions.emplace_back(share_quarantine{std::move(fingerprint)});
    }
  }
  const bool server_failed = end.outcome == wire::attempt_outcome::crashed ||
                             end.outcome == wire::attempt_outcome::lost;
  if (server_failed) this->on_suspected(end.server, now);
  this->dispatch_queue(target, now);
}

void home::on_report(const wire::agent_report& report, time_point now) {
  const std::uint32_t own = this->in_flight(report.server);
  if (!this->known_servers[report.server].apply_report(report, own, now))
    return;
  for (const auto& replica : report.replicas) {
    const auto found = this->known_targets.find(model_target(replica.name));
    if (found == this->known_targets.end()) continue;
    this->dispatch_queue(found->second, now);
  }
  if (report.model_server) return;
  const auto pool = this->known_targets.find(pool_target(report.pool));
  if (pool != this->known_targets.end())
    this->dispatch_queue(pool->second, now);
}

void home::on_load_response(const order_load& wake,
                            const wire::wake_answer& answer, time_point now) {
  home_target& target =
      this->find_or_add_target(model_target(wake.order.model));
  const auto ordered = this->find_pending_load(target, wake);
  if (ordered == target.pending_loads.end()) return;
  if (answer.code == static_cast<int>(result_code::ok)) {
    ordered->accepted = true;
    ordered->expected_ready_at = now + milliseconds(answer.ready_in_ms);
    return;
  }
  target.pending_loads.erase(ordered);
  if (wake.from_store) {
    this->actions.emplace_back(report_load_end{wake.server, wake.order.model});
  }
  const auto code = static_cast<result_code>(answer.code);
  this->add_note(
      target, {},
      "wake refused by " + wake.server + ": " + std::string(name_of(code)),
      now);
  home_server& server = this->known_servers[wake.server];
  server.set_cooldown(now + this->settings.server_cooldown);
  this->dispatch_queue(target, now);
}

void home::on_load_deferred(const order_load& wake, milliseconds wait,
                            time_point now) {
  constexpr milliseconds shortest{100};
  constexpr milliseconds longest{500};
  home_target& target =
      this->find_or_add_target(model_target(wake.order.model));
  const auto ordered = this->find_pending_load(target, wake);
  if (ordered == target.pending_loads.end()) return;
  ordered->deferred = true;
  ordered->retry_at = now + std::clamp(wait, shortest, longest);
  ordered->expected_ready_at = now + wait + this->load_time(ordered->tier);
}

std::vector<pending_load>::iterator home::find_pending_load(
    home_target& target, const order_load& wake) {
  return std::find_if(target.pending_loads.begin(), target.pending_loads.end(),
                      [&](const pending_load& pending) {
                        return pending.server == wake.server &&
                               pending.adapter == wake.order.adapter;
                      });
}

void home::on_load_order_lost(const order_load& wake, time_point now) {
  this->on_load_response(
      wake,
      {.code = static_cast<int>(result_code::peer_unreachable),
       .ready_in_ms = 0},
      now);
}

void home::on_servers(const std::string& name, std::vector<std::string> servers,
                      time_point now) {
  home_target& target = this->find_or_add_target(name);
  target.servers = std::move(servers);
  target.has_server_list = true;
  std::map<std::string, time_point> since;
  for (const auto& id : target.servers) {
    const auto before = target.server_added_at.find(id);
    since[id] = before == target.server_added_at.end() ? now : before->second;
  }
  target.server_added_at = std::move(since);
  if (target.servers.size() >= target.requested_grants)
    target.requested_grants = 0;
  this->dispatch_queue(target, now);
}

void home::on_draining(const std::string& server) {
  this->known_servers[server].set_draining();
}

void home::on_suspected(const std::string& server, time_point now) {
  home_server& known = this->known_servers[server];
  known.set_cooldown(now + this->settings.server_cooldown);
}

void home::on_entry_lost(const endpoint& entry, time_point now) {
  std::vector<std::string> gone;
  for (const auto& [name, target] : this->known_targets) {
    for (const auto& waiting : target.queue) {
      if (waiting.request.entry == entry)
        gone.push_back(waiting.request.attempt);
    }
  }
  for (const auto& attempt : gone) this->withdraw(attempt, now);
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
  for (auto& [name, target] : this->known_targets)
    this->dispatch_queue(target, now);
}

void home::on_quarantine(const std::string& fingerprint, time_point now) {
  this->implicated.quarantine(fingerprint, now);
}

void home::tick(time_point now) {
  std::vector<std::string> lapsed;
  for (const auto& [attempt, permit] : this->issued_permits) {
    if (permit.expires_at <= now) lapsed.push_back(attempt);
  }
  for (const auto& attempt : lapsed) this->release_permit(attempt);
  for (auto& [name, target] : this->known_targets) {
    this->dispatch_queue(target, now);
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

wire::permit_answer home::make_refusal(const wire::permit_request& ask,
                                       result_code code,
                                       milliseconds retry_after,
                                       const std::string& reason) {
  wire::permit_answer answer{.attempt = ask.attempt};
  answer.state = wire::permit_state::refused;
  answer.code = static_cast<int>(code);
  answer.retry_after_ms = retry_after.count();
  answer.reason = reason;
  return answer;
}

void home::refuse_waiting(home_target& target,
                          std::set<waiting_request, by_deadline>::iterator at,
                          result_code code, const std::string& reason,
                          time_point now) {
  const wire::permit_request ask = at->request;
  this->erase_waiting(target, at);
  this->add_note(target, ask.attempt, "refused: " + reason, now);
  const auto wait = this->expected_wait(target.name, ask.adapter, now);
  this->actions.emplace_back(
      notify_entry{ask.entry, this->make_refusal(ask, code, wait, reason)});
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
