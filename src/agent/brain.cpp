#include "agent/brain.hpp"

#include <utility>

#include <boragehill/result_code.hpp>

#include "agent/agent_metrics.hpp"
#include "kernel/event_log.hpp"

namespace boragehill::agent {

namespace {

using kernel::event;
using kernel::log_event;

decide::residency_settings residency_settings_of(const agent_settings& from) {
  return {.engine_checks_fence = from.engine_checks_fence,
          .max_order_delivery = from.wait_out};
}

}  // namespace

brain::brain(const agent_settings& settings, brain_outlets outlets,
             agent_metrics& metrics, time_point now)
    : plain(settings.kind == server_kind::plain),
      pool(settings.pool),
      slots_override(settings.slots),
      state_poll(decide::residency_settings{}.state_poll_interval),
      outlets(std::move(outlets)),
      metrics(&metrics),
      admission({.retention = settings.retention}),
      residency(residency_settings_of(settings), now) {
  this->admission.set_slots(settings.slots);
  // Attempts are named by this process, not by its fencing number: a restart
  // while the table is down still serves what the engine holds.
  this->admission.set_fencing_number(this->incarnation);
}

void brain::handle(brain_message& message, time_point now) {
  std::visit([&](auto& item) { this->take(item, now); }, message);
  this->carry_out_actions();
}

void brain::tick(time_point now) {
  this->admission.remove_expired(now);
  if (this->plain) {
    this->watch_plain_service(now);
  } else {
    this->residency.tick(now);
  }
  this->carry_out_actions();
  this->metrics->show(this->view(now), now);
}

void brain::take(attempt_offered& message, time_point now) {
  const auto verdict =
      this->admission.decide(message.offer, this->usable(message.target), now);
  if (verdict.code == result_code::ok) {
    if (!this->plain) {
      this->residency.on_attempt_began(message.target.model,
                                       message.target.adapter, now);
    }
  } else {
    this->metrics->count_refusal(verdict.code);
  }
  message.reply->set_value(verdict);
}

void brain::take(attempt_finished& message, time_point now) {
  this->admission.end(message.id, message.whole);
  if (this->plain) return;
  this->residency.on_attempt_ended(message.target.model, message.target.adapter,
                                   now);
  if (message.engine_suspected) this->residency.on_engine_suspected(now);
}

void brain::take(attempt_asked& message, time_point now) {
  const auto state = message.tombstone
                         ? this->admission.tombstone(message.attempt, now)
                         : this->admission.state_of(message.attempt);
  message.reply->set_value(state);
}

void brain::take(wake_asked& message, time_point now) {
  if (this->plain) {
    message.reply->set_value({result_code::not_supported});
    return;
  }
  const auto outcome = this->residency.on_load_request(message.wake, now);
  if (outcome.code != result_code::ok) {
    log_event(event::wake_refused,
              {{"model", message.wake.model}, {"code", name_of(outcome.code)}});
  }
  message.reply->set_value(outcome);
}

void brain::take(retire_asked& message, time_point now) {
  if (!this->plain) this->residency.on_retire(message.model, now);
}

void brain::take(grants_hinted&, time_point now) {
  if (!this->plain) this->residency.on_grants_hint(now);
}

void brain::take(fence_taken& message, time_point now) {
  this->fence = message.fence;
  log_event(event::agent_fenced_in, {{"fence", message.fence}});
  if (!this->plain) this->residency.on_fence_taken(message.fence, now);
  this->outlets.report();
}

void brain::take(grants_read& message, time_point now) {
  this->residency.on_grants(message.record, message.read_began, now);
}

void brain::take(engine_state_read& message, time_point now) {
  if (this->slots_override == 0) {
    this->admission.set_slots(message.state.slots);
  }
  this->service_asked = false;
  this->service_up = true;
  if (!this->plain) this->residency.on_engine_state(message.state, now);
  if (!this->was_up) this->outlets.report();
  this->was_up = true;
}

void brain::take(engine_lost&, time_point now) {
  this->service_asked = false;
  this->service_up = false;
  if (!this->plain) this->residency.on_engine_unresponsive(now);
  if (!this->was_up) return;
  this->was_up = false;
  log_event(event::engine_lost, {});
  this->outlets.report();
}

void brain::take(order_answered& message, time_point now) {
  const bool load = message.order.kind == order_kind::load;
  if (message.error == result_code::order_unknown) {
    log_event(event::order_unknown, {{"model", message.order.model},
                                     {"sequence", message.order.sequence}});
    this->metrics->count_unknown_order();
  } else if (message.error) {
    log_event(event::load_failed, {{"model", message.order.model},
                                   {"load", load},
                                   {"code", message.error}});
  } else {
    log_event(load ? event::load_done : event::unload_done,
              {{"model", message.order.model}});
    this->metrics->count_order(message.order.kind,
                               this->residency.tier_of(message.order.model));
  }
  this->residency.on_order_done(message.order, message.error, now);
}

void brain::take(view_asked& message, time_point now) {
  message.reply->set_value(this->view(now));
}

void brain::take(drain_asked&, time_point) {
  if (this->admission.draining()) return;
  log_event(event::drain_started, {{"running", this->admission.running()}});
  this->admission.drain();
  this->residency.drain();
  this->outlets.report();
}

void brain::act(const decide::send_order& action) {
  const bool load = action.order.kind == order_kind::load;
  log_event(load ? event::load_ordered : event::unload_ordered,
            {{"model", action.order.model},
             {"bytes", action.order.bytes},
             {"reason", decide::name_of(action.reason)},
             {"sequence", action.order.sequence}});
  if (action.reason == decide::order_reason::evicted) {
    log_event(event::evicted, {{"model", action.order.model}});
  }
  this->outlets.order(action);
}

void brain::act(const decide::read_engine_state&) {
  this->outlets.read_state();
}

void brain::act(const decide::read_grants&) {
  this->outlets.read_grants();
}

void brain::act(const decide::notify_given_up&) {
  this->outlets.report();
}

void brain::act(const decide::notify_model_changed&) {
  this->outlets.report();
}

void brain::act(const decide::notify_engine_restarted&) {
  log_event(event::engine_restarted, {});
}

void brain::act(const decide::notify_superseded&) {
  this->admission.drain();
  this->outlets.overtaken();
}

void brain::carry_out_actions() {
  for (const auto& action : this->residency.take_actions()) {
    std::visit([this](const auto& item) { this->act(item); }, action);
  }
}

void brain::watch_plain_service(time_point now) {
  if (this->service_asked || now < this->next_service_read) return;
  this->service_asked = true;
  this->next_service_read = now + this->state_poll;
  this->outlets.read_state();
}

result_code brain::usable(const attempt_target& target) const {
  if (!this->plain) {
    if (target.model.empty()) return result_code::no_server;
    return this->residency.check_usable(target.model, target.adapter);
  }
  if (target.pool != this->pool) return result_code::no_server;
  return this->service_up ? result_code::ok : result_code::engine_down;
}

bool brain::backend_up() const {
  return this->plain ? this->service_up : this->residency.engine_up();
}

brain_view brain::view(time_point now) const {
  const auto& ledger = this->residency.ledger();
  brain_view view{.fence = this->fence,
                  .incarnation = this->incarnation,
                  .capacity_bytes = ledger.capacity(),
                  .reserved_bytes = ledger.reserved(),
                  .free_bytes = ledger.free(),
                  .evictable_bytes = this->residency.evictable_bytes(now),
                  .slots = this->admission.slots(),
                  .running = this->admission.running(),
                  .idle_replicas = this->residency.idle_replicas(),
                  .remembered = this->admission.known_attempts(),
                  .draining = this->admission.draining(),
                  .backend_up = this->backend_up(),
                  .order_unknown = this->residency.is_order_outcome_unknown(),
                  .replicas = this->residency.replicas(now)};
  for (const auto& [name, tier] : this->residency.last_engine_state().cached) {
    view.cached.emplace(name, static_cast<std::int32_t>(tier));
  }
  view.given_up = this->residency.given_up();
  return view;
}

}  // namespace boragehill::agent
