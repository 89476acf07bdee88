#include "decide/residency.hpp"

#include <algorithm>
#include <utility>

#include <boragehill/grant.hpp>
#include <boragehill/model_ref.hpp>
#include <boragehill/server_record.hpp>

#include "decide/residency_name.hpp"

namespace boragehill::decide {

namespace {

using wire::replica_state;

const engine_model* find_model(const engine_state& state,
                               const std::string& name) {
  const auto found =
      std::find_if(state.models.begin(), state.models.end(),
                   [&](const engine_model& m) { return m.name == name; });
  return found == state.models.end() ? nullptr : &*found;
}

replica_state replica_state_of(engine_model_state state) {
  switch (state) {
    case engine_model_state::loading:
      return replica_state::loading;
    case engine_model_state::unloading:
      return replica_state::unloading;
    case engine_model_state::ready:
      break;
  }
  return replica_state::ready;
}

}  // namespace

residency::residency(residency_settings settings, time_point started_at)
    : settings(settings), started_at(started_at) {}

void residency::on_fence_taken(std::uint64_t fence, time_point now) {
  this->fence = fence;
  this->request_grants_read();
  this->start_next_engine_call(now);
}

void residency::on_engine_state(const engine_state& state, time_point now) {
  this->call = engine_call::none;
  this->next_state_read = now + this->settings.state_poll_interval;
  const bool restarted =
      this->state_known && state.incarnation != this->last_state.incarnation;
  if (restarted) {
    this->engine_fenced = false;
    this->actions.emplace_back(notify_engine_restarted{});
  }
  this->engine_responding = true;
  this->state_known = true;
  this->last_state = state;
  this->settle_unknown_order(state, restarted, now);
  this->adopt_engine_state(state, now);
  this->start_next_engine_call(now);
}

void residency::on_engine_unresponsive(time_point now) {
  this->call = engine_call::none;
  this->engine_responding = false;
  this->next_state_read = now + this->settings.state_poll_interval;
}

void residency::on_grants(const server_record& record, time_point read_began,
                          time_point now) {
  this->grants_read_pending = false;
  this->next_grants_read = now + this->settings.grants_poll_interval;
  if (record.fence > this->fence) {
    this->superseded = true;
    this->actions.emplace_back(notify_superseded{});
    return;
  }
  if (record.fence < this->fence) return;
  // A read sent before a grant was given up still shows the grant. The home may
  // since have granted the model elsewhere, so a load here would be one replica
  // too many. Such a read is discarded.
  if (read_began <= this->last_give_up_at || this->grants_reread_needed) {
    this->grants_reread_needed = false;
    this->request_grants_read();
    if (read_began <= this->last_give_up_at) return;
  }
  this->grants_known = true;
  this->grants.clear();
  this->grant_serials.clear();
  for (const grant& granted : record.grants) {
    this->grants.emplace(granted.model, granted.bytes);
    this->grant_serials.emplace(granted.model, granted.serial);
  }
  // A given-up grant stays unusable until it is no longer in the row or has a
  // later serial: the home may act on the acknowledgement at any time.
  std::erase_if(this->given_up_serials, [this](const auto& given_up) {
    const auto in_row = this->grant_serials.find(given_up.first);
    return in_row == this->grant_serials.end() ||
           in_row->second != given_up.second;
  });
  for (const auto& [model, serial] : this->given_up_serials) {
    this->grants.erase(model);
  }
  this->start_next_engine_call(now);
}

void residency::on_grants_hint(time_point now) {
  this->request_grants_read();
  this->start_next_engine_call(now);
}

residency_load_outcome residency::on_load_request(
    const residency_load_request& request, time_point now) {
  if (this->draining || this->superseded) return {result_code::draining};
  if (!this->engine_responding) return {result_code::engine_down};
  if (!this->grants_known || !this->is_granted(request.model)) {
    this->request_grants_read();
    return {result_code::no_grant};
  }
  const std::uint64_t granted_bytes = this->grants.at(request.model);
  const std::uint64_t bytes = granted_bytes > 0 ? granted_bytes : request.bytes;
  const residency_holding* held = this->find(request.model);
  const bool cold = held == nullptr || held->state == replica_state::cold;
  const std::string adapter =
      request.adapter.empty()
          ? ""
          : model_ref{request.model, request.adapter}.to_string();
  const bool adapter_cold =
      !adapter.empty() && !this->memory.has_reservation(adapter);
  const std::uint64_t needed =
      (cold ? bytes : 0) + (adapter_cold ? request.adapter_bytes : 0);
  if (needed > 0 && !this->fits_after_evictions(request.model, needed, now)) {
    return {result_code::no_memory};
  }
  this->request_load(request.model, bytes, request.keep_warm, now);
  if (!adapter.empty()) {
    this->request_load(adapter, request.adapter_bytes, request.keep_warm, now);
  }
  const auto time_to_ready =
      this->ready_in(adapter.empty() ? request.model : adapter, now);
  this->start_next_engine_call(now);
  return {result_code::ok, time_to_ready};
}

void residency::on_retire(const std::string& model, time_point now) {
  residency_holding& held = this->holdings[model];
  held.retiring = true;
  held.wanted_since.reset();
  for (const auto& adapter : this->adapters_of(model)) {
    this->holdings[adapter].wanted_since.reset();
  }
  this->start_next_engine_call(now);
}

void residency::on_order_done(const engine_order& order, std::error_code error,
                              time_point now) {
  if (!this->outstanding) return;
  if (this->outstanding->order.sequence != order.sequence) return;
  this->call = engine_call::none;
  if (error == result_code::order_unknown) {
    this->outstanding->unknown_since = now;
    this->next_state_read = now;
    this->start_next_engine_call(now);
    return;
  }
  if (error == result_code::order_fenced) {
    this->superseded = true;
    this->actions.emplace_back(notify_superseded{});
  }
  if (error == result_code::engine_down) this->engine_responding = false;
  if (error) this->next_state_read = now;
  this->finish_order(!error, now);
  this->start_next_engine_call(now);
}

result_code residency::check_usable(const std::string& model,
                                    const std::string& adapter) const {
  if (!this->engine_responding) return result_code::engine_down;
  const residency_holding* held = this->find(model);
  if (!this->is_granted(model)) return result_code::no_grant;
  if (held == nullptr) return result_code::model_not_ready;
  if (held->retiring) return result_code::no_grant;
  if (held->state != replica_state::ready) return result_code::model_not_ready;
  if (adapter.empty()) return result_code::ok;
  held = this->find(model_ref{model, adapter}.to_string());
  const bool ready = held != nullptr && held->state == replica_state::ready;
  return ready ? result_code::ok : result_code::model_not_ready;
}

void residency::on_attempt_began(const std::string& model,
                                 const std::string& adapter, time_point now) {
  this->begin_use(model, now);
  if (!adapter.empty()) {
    this->begin_use(model_ref{model, adapter}.to_string(), now);
  }
}

void residency::on_attempt_ended(const std::string& model,
                                 const std::string& adapter, time_point now) {
  if (!adapter.empty()) {
    this->end_use(model_ref{model, adapter}.to_string(), now);
  }
  this->end_use(model, now);
  this->start_next_engine_call(now);
}

void residency::on_engine_suspected(time_point now) {
  this->next_state_read = now;
  this->start_next_engine_call(now);
}

void residency::tick(time_point now) {
  if (!this->grants_read_pending && now >= this->next_grants_read) {
    this->request_grants_read();
  }
  this->start_next_engine_call(now);
}

std::vector<residency_action> residency::take_actions() {
  return std::exchange(this->actions, {});
}

bool residency::is_granted(const std::string& model) const {
  // Until the row was read, every loaded model is served.
  if (!this->grants_known) return !this->given_up_serials.contains(model);
  return this->grants.contains(model);
}

bool residency::is_order_outcome_unknown() const {
  return this->outstanding && this->outstanding->unknown_since.has_value();
}

void residency::start_next_engine_call(time_point now) {
  if (this->call != engine_call::none) return;
  if (now >= this->next_state_read) {
    this->call = engine_call::reading;
    this->actions.emplace_back(read_engine_state{});
    return;
  }
  if (this->outstanding || !this->may_order(now)) return;
  this->give_up_retired_grants(now);
  if (const auto next = this->choose_order(now)) this->issue_order(*next, now);
}

void residency::request_grants_read() {
  if (this->fence == 0) return;
  if (this->grants_read_pending) {
    this->grants_reread_needed = true;
    return;
  }
  this->grants_read_pending = true;
  this->actions.emplace_back(read_grants{});
}

void residency::settle_unknown_order(const engine_state& state, bool restarted,
                                     time_point now) {
  if (!this->is_order_outcome_unknown()) return;
  // An order in transit may reach the new engine process after a restart. That
  // process starts empty, so a missing model then does not show that the unload
  // was executed.
  if (restarted) this->outstanding->engine_restarted = true;
  if (this->shows_order_done(state)) return this->finish_order(true, now);
  if (this->shows_order_in_progress(state)) return;
  // The response was lost and the state shows no effect of the order, which may
  // still be in transit. Its memory stays reserved until the maximum delivery
  // time has passed.
  const time_point unknown_since = *this->outstanding->unknown_since;
  if (now - unknown_since < this->settings.max_order_delivery) return;
  this->finish_order(false, now);
}

bool residency::shows_order_done(const engine_state& state) const {
  const engine_order& order = this->outstanding->order;
  const engine_model* held = find_model(state, order.model);
  if (order.kind == order_kind::unload) {
    return held == nullptr && !this->outstanding->engine_restarted;
  }
  return held != nullptr && held->state == engine_model_state::ready;
}

bool residency::shows_order_in_progress(const engine_state& state) const {
  const engine_model* held = find_model(state, this->outstanding->order.model);
  return held != nullptr && held->state != engine_model_state::ready;
}

void residency::adopt_engine_state(const engine_state& state, time_point now) {
  memory_ledger new_ledger(state.capacity_bytes);
  for (const engine_model& model : state.models) {
    const auto reserved = this->memory.bytes_of(model.name);
    new_ledger.set_reservation(model.name, std::max(model.bytes, reserved));
    const bool is_new = !this->holdings.contains(model.name);
    residency_holding& held = this->holdings[model.name];
    if (is_new || held.state != replica_state_of(model.state)) {
      this->actions.emplace_back(notify_model_changed{base_of(model.name)});
    }
    if (is_new) held.keep_warm = this->settings.default_keep_warm;
    if (is_new) held.last_used = now;
    held.bytes = new_ledger.bytes_of(model.name);
    held.state = replica_state_of(model.state);
    // An unload of unknown outcome may still arrive and would abort attempts
    // admitted meanwhile, so none are admitted until the outcome is known.
    if (this->is_unload_pending(model.name)) {
      held.state = replica_state::unloading;
    }
  }
  if (this->outstanding) {
    const std::string& name = this->outstanding->order.model;
    const auto reserved = this->memory.bytes_of(name);
    if (reserved > 0 && !new_ledger.has_reservation(name)) {
      new_ledger.set_reservation(name, reserved);
    }
  }
  std::vector<std::string> removed;
  for (auto& [name, held] : this->holdings) {
    if (new_ledger.has_reservation(name)) continue;
    if (held.state == replica_state::cold) continue;
    held.state = replica_state::cold;
    this->actions.emplace_back(notify_model_changed{base_of(name)});
    removed.push_back(name);
  }
  this->memory = std::move(new_ledger);
  for (const auto& name : removed) this->forget_if_unused(name);
}

bool residency::is_unload_pending(const std::string& name) const {
  if (!this->outstanding) return false;
  const engine_order& order = this->outstanding->order;
  return order.kind == order_kind::unload && order.model == name;
}

void residency::finish_order(bool done, time_point now) {
  const outstanding_order finished = *this->outstanding;
  this->outstanding.reset();
  if (finished.order.model == fence_probe_name) {
    this->engine_fenced = !finished.unknown_since.has_value() &&
                          !this->superseded && this->engine_responding;
    this->next_state_read = now;
    return;
  }
  if (finished.order.kind == order_kind::load) {
    if (done && !finished.unknown_since) {
      const auto took =
          std::chrono::duration_cast<milliseconds>(now - finished.sent_at);
      this->load_time.add_sample(this->tier_of(finished.order.model),
                                 finished.order.bytes, took);
    }
    this->finish_load(finished.order, done, now);
  } else {
    this->finish_unload(finished.order, done, now);
  }
  this->actions.emplace_back(
      notify_model_changed{base_of(finished.order.model)});
}

void residency::finish_load(const engine_order& order, bool done,
                            time_point now) {
  residency_holding& held = this->holdings[order.model];
  held.wanted_since.reset();
  if (!done) {
    held.state = replica_state::cold;
    this->memory.release(order.model);
    this->forget_if_unused(order.model);
    return;
  }
  held.state = replica_state::ready;
  held.last_used = now;
  held.protected_until = now + this->settings.unused_protection;
}

void residency::finish_unload(const engine_order& order, bool done,
                              time_point now) {
  residency_holding& held = this->holdings[order.model];
  if (!done) {
    held.state = replica_state::ready;
    this->unload_not_before = now + this->settings.state_poll_interval;
    return;
  }
  held.state = replica_state::cold;
  this->memory.release(order.model);
  this->give_up_retired_grants(now);
  this->forget_if_unused(order.model);
}

void residency::give_up_retired_grants(time_point now) {
  std::vector<std::string> unloaded;
  for (const auto& [name, held] : this->holdings) {
    if (!held.retiring || held.state != replica_state::cold) continue;
    if (held.running_attempts > 0 || this->memory.has_reservation(name)) {
      continue;
    }
    if (!this->adapters_of(name).empty()) continue;
    unloaded.push_back(name);
  }
  if (this->outstanding || !this->may_order(now)) return;
  if (!this->old_orders_expired(now)) return;
  for (const auto& name : unloaded) this->give_up_grant(name, now);
}

void residency::give_up_grant(const std::string& model, time_point now) {
  this->grants.erase(model);
  this->given_up_serials[model] = this->grant_serials[model];
  this->last_give_up_at = now;
  this->holdings.erase(model);
  this->actions.emplace_back(notify_given_up{model});
  this->request_grants_read();
}

void residency::request_load(const std::string& name, std::uint64_t bytes,
                             milliseconds keep_warm, time_point now) {
  residency_holding& held = this->holdings[name];
  held.keep_warm = keep_warm;
  held.retiring = false;
  held.last_used = now;
  if (held.state == replica_state::ready) {
    held.protected_until = now + this->settings.unused_protection;
    return;
  }
  if (held.state != replica_state::loading &&
      !this->memory.has_reservation(name)) {
    held.bytes = bytes;
  }
  if (!held.is_wanted(now)) held.wanted_since = now;
  held.wanted_until = now + this->settings.load_request_lifetime;
}

void residency::begin_use(const std::string& name, time_point now) {
  residency_holding& held = this->holdings[name];
  ++held.running_attempts;
  held.last_used = now;
  held.protected_until = time_point{};
}

void residency::end_use(const std::string& name, time_point now) {
  const auto found = this->holdings.find(name);
  if (found == this->holdings.end() || found->second.running_attempts == 0) {
    return;
  }
  --found->second.running_attempts;
  found->second.last_used = now;
  this->forget_if_unused(name);
}

void residency::forget_if_unused(const std::string& name) {
  const auto found = this->holdings.find(name);
  if (found == this->holdings.end()) return;
  const residency_holding& held = found->second;
  if (held.state != replica_state::cold || held.running_attempts > 0) return;
  if (held.wanted_since || held.retiring) return;
  if (this->memory.has_reservation(name)) return;
  this->holdings.erase(found);
}

}  // namespace boragehill::decide
