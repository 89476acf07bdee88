#include "decide/home.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "decide/catalog.hpp"
#include "decide/target_name.hpp"

namespace boragehill::decide {

home::home(home_settings settings, strike_settings strike_limits)
    : limits(settings),
      strike_book(strike_limits),
      load_means{running_mean(settings.load_time[0]),
                 running_mean(settings.load_time[1]),
                 running_mean(settings.load_time[2])} {}

wire::permit_answer home::request(const wire::permit_request& ask,
                                  time_point now) {
  if (const auto out = this->issued.find(ask.attempt);
      out != this->issued.end()) {
    return out->second.answer;
  }
  wire::permit_answer queued{.attempt = ask.attempt};
  queued.state = wire::permit_state::queued;
  if (this->waiting_at.contains(ask.attempt)) return queued;

  home_target& target = this->target_of(ask.target);
  target.last_arrival = now;
  if (std::holds_alternative<convicted>(
          this->strike_book.judge(ask.fingerprint, now))) {
    return this->refuse(ask, result_code::request_convicted, milliseconds{0},
                        "this request crashed backend servers before");
  }
  const bool full = this->waiting_total >= this->limits.queue_total ||
                    target.queue.size() >= this->limits.queue_per_target;
  if (full) {
    const auto wait = this->estimate(ask.target, ask.adapter, now);
    return this->refuse(ask, result_code::queue_full, wait,
                        "the queue of " + ask.target + " is full");
  }
  waiting_request waiting{.ask = ask,
                          .deadline = now + milliseconds(ask.time_left_ms),
                          .queued_at = now,
                          .order = this->next_order++};
  target.queue.insert(waiting);
  this->waiting_at[ask.attempt] = ask.target;
  ++this->waiting_total;
  this->pump(target, now);
  this->refuse_hopeless(target, now);

  // A decision made by the dispatch above is returned directly, which saves a
  // call to the entry router.
  const auto own = [&](const home_action& action) {
    const auto* told = std::get_if<tell_entry>(&action);
    return told != nullptr && told->answer.attempt == ask.attempt;
  };
  const auto found =
      std::find_if(this->actions.begin(), this->actions.end(), own);
  if (found != this->actions.end()) {
    wire::permit_answer answer = std::get<tell_entry>(*found).answer;
    this->actions.erase(found);
    return answer;
  }
  queued.estimate_ms = this->estimate(ask.target, ask.adapter, now).count();
  return queued;
}

void home::withdraw(const std::string& attempt, time_point now) {
  this->release(attempt);
  const auto at = this->waiting_at.find(attempt);
  if (at == this->waiting_at.end()) return;
  home_target& target = this->target_of(at->second);
  const auto found = std::find_if(
      target.queue.begin(), target.queue.end(),
      [&](const auto& waiting) { return waiting.ask.attempt == attempt; });
  if (found != target.queue.end()) this->erase_waiting(target, found);
  this->note(target, attempt, "withdrawn by its entry router", now);
}

std::vector<std::string> home::on_renewal(
    const std::vector<std::string>& attempts) {
  std::vector<std::string> unknown;
  for (const auto& attempt : attempts) {
    if (this->waiting_at.contains(attempt)) continue;
    const auto out = this->issued.find(attempt);
    if (out == this->issued.end()) {
      unknown.push_back(attempt);
      continue;
    }
    const issued_permit& permit = out->second;
    this->actions.emplace_back(tell_entry{permit.ask.entry, permit.answer});
  }
  return unknown;
}

void home::on_done(const wire::attempt_end& end, time_point now) {
  const auto found = this->issued.find(end.attempt);
  const bool exclusive =
      found != this->issued.end() && found->second.answer.exclusive;
  home_target& target = this->target_of(end.target);
  if (found != this->issued.end() &&
      end.outcome == wire::attempt_outcome::answered) {
    target.run_time.add(std::chrono::duration_cast<milliseconds>(
        now - found->second.issued_at));
  }
  this->release(end.attempt);

  if (end.outcome == wire::attempt_outcome::answered) {
    this->strike_book.on_success(end.fingerprint);
  }
  if (end.outcome == wire::attempt_outcome::crashed) {
    // An implicated request is quarantined only for a crash while it ran alone
    // on a server. Otherwise a harmless request that shared two servers with
    // poison requests would be refused permanently.
    const bool counts =
        exclusive || std::holds_alternative<free_to_run>(
                         this->strike_book.judge(end.fingerprint, now));
    std::vector<std::string> guilty;
    if (counts) guilty = this->strike_book.on_crash({end.fingerprint}, now);
    this->note(target, end.attempt, "in flight when " + end.server + " crashed",
               now);
    for (auto& fingerprint : guilty) {
      this->note(target, end.attempt, "convicted: crashed it alone", now);
      this->actions.emplace_back(share_conviction{std::move(fingerprint)});
    }
  }
  const bool server_failed = end.outcome == wire::attempt_outcome::crashed ||
                             end.outcome == wire::attempt_outcome::lost;
  if (server_failed) this->on_suspected(end.server, now);
  this->pump(target, now);
}

void home::on_report(const wire::agent_report& report, time_point now) {
  const std::uint32_t own = this->in_flight(report.server);
  if (!this->known_servers[report.server].take(report, own, now)) return;
  for (const auto& replica : report.replicas) {
    const auto found = this->known_targets.find(model_target(replica.name));
    if (found == this->known_targets.end()) continue;
    this->pump(found->second, now);
  }
  if (report.model_server) return;
  const auto pool = this->known_targets.find(pool_target(report.pool));
  if (pool != this->known_targets.end()) this->pump(pool->second, now);
}

void home::on_wake_answer(const order_wake& wake,
                          const wire::wake_answer& answer, time_point now) {
  home_target& target = this->target_of(model_target(wake.order.model));
  const auto ordered = this->find_wake(target, wake);
  if (ordered == target.wakes.end()) return;
  if (answer.code == static_cast<int>(result_code::ok)) {
    ordered->accepted = true;
    ordered->expected_ready = now + milliseconds(answer.ready_in_ms);
    return;
  }
  target.wakes.erase(ordered);
  if (wake.remote) {
    this->actions.emplace_back(load_ended{wake.server, wake.order.model});
  }
  const auto code = static_cast<result_code>(answer.code);
  this->note(
      target, {},
      "wake refused by " + wake.server + ": " + std::string(name_of(code)),
      now);
  home_server& server = this->known_servers[wake.server];
  server.leave_alone_until(now + this->limits.server_cooldown);
  this->pump(target, now);
}

void home::on_wake_paced(const order_wake& wake, milliseconds wait,
                         time_point now) {
  constexpr milliseconds shortest{100};
  constexpr milliseconds longest{500};
  home_target& target = this->target_of(model_target(wake.order.model));
  const auto ordered = this->find_wake(target, wake);
  if (ordered == target.wakes.end()) return;
  ordered->paced = true;
  ordered->again_at = now + std::clamp(wait, shortest, longest);
  ordered->expected_ready = now + wait + this->load_time(ordered->tier);
}

std::vector<pending_wake>::iterator home::find_wake(home_target& target,
                                                    const order_wake& wake) {
  return std::find_if(target.wakes.begin(), target.wakes.end(),
                      [&](const pending_wake& pending) {
                        return pending.server == wake.server &&
                               pending.adapter == wake.order.adapter;
                      });
}

void home::on_wake_lost(const order_wake& wake, time_point now) {
  this->on_wake_answer(wake,
                       {.code = static_cast<int>(result_code::peer_unreachable),
                        .ready_in_ms = 0},
                       now);
}

void home::on_servers(const std::string& name, std::vector<std::string> servers,
                      time_point now) {
  home_target& target = this->target_of(name);
  target.servers = std::move(servers);
  target.servers_known = true;
  std::map<std::string, time_point> since;
  for (const auto& id : target.servers) {
    const auto before = target.servers_since.find(id);
    since[id] = before == target.servers_since.end() ? now : before->second;
  }
  target.servers_since = std::move(since);
  if (target.servers.size() >= target.wanted_grants) target.wanted_grants = 0;
  this->pump(target, now);
}

void home::on_leaving(const std::string& server) {
  this->known_servers[server].set_leaving();
}

void home::on_suspected(const std::string& server, time_point now) {
  home_server& known = this->known_servers[server];
  known.leave_alone_until(now + this->limits.server_cooldown);
}

void home::on_entry_gone(const endpoint& entry, time_point now) {
  std::vector<std::string> gone;
  for (const auto& [name, target] : this->known_targets) {
    for (const auto& waiting : target.queue) {
      if (waiting.ask.entry == entry) gone.push_back(waiting.ask.attempt);
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
    this->target_of(model_target(base)).spec = spec;
  }
  for (auto& [name, target] : this->known_targets) this->pump(target, now);
}

void home::on_conviction(const std::string& fingerprint, time_point now) {
  this->strike_book.convict(fingerprint, now);
}

void home::tick(time_point now) {
  std::vector<std::string> lapsed;
  for (const auto& [attempt, permit] : this->issued) {
    if (permit.gone_at <= now) lapsed.push_back(attempt);
  }
  for (const auto& attempt : lapsed) this->release(attempt);
  for (auto& [name, target] : this->known_targets) {
    this->pump(target, now);
    this->refuse_hopeless(target, now);
  }
}

std::vector<home_action> home::take_actions() {
  return std::exchange(this->actions, {});
}

const home_target* home::target(const std::string& name) const {
  const auto found = this->known_targets.find(name);
  return found == this->known_targets.end() ? nullptr : &found->second;
}

home_target& home::target_of(const std::string& name) {
  const auto [at, added] =
      this->known_targets.try_emplace(name, name, this->limits.run_time);
  (void)added;
  return at->second;
}

wire::permit_answer home::refuse(const wire::permit_request& ask,
                                 result_code code, milliseconds retry_after,
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
  const wire::permit_request ask = at->ask;
  this->erase_waiting(target, at);
  this->note(target, ask.attempt, "refused: " + reason, now);
  const auto wait = this->estimate(target.name, ask.adapter, now);
  this->actions.emplace_back(
      tell_entry{ask.entry, this->refuse(ask, code, wait, reason)});
}

std::set<waiting_request, by_deadline>::iterator home::erase_waiting(
    home_target& target, std::set<waiting_request, by_deadline>::iterator at) {
  this->waiting_at.erase(at->ask.attempt);
  --this->waiting_total;
  std::erase_if(this->reserved, [&](const auto& entry) {
    return entry.second == at->ask.attempt;
  });
  return target.queue.erase(at);
}

void home::note(home_target& target, const std::string& attempt,
                std::string text, time_point now) {
  target.notes.push_back({now, attempt, std::move(text)});
  if (target.notes.size() > this->limits.notes_per_target) {
    target.notes.pop_front();
  }
}

}  // namespace boragehill::decide
