#include "router/pulse_duty.hpp"

#include <memory>

#include "decide/catalog.hpp"
#include "decide/home.hpp"
#include "kernel/event_log.hpp"
#include "router/caller_listener.hpp"
#include "router/fleet.hpp"
#include "router/home_duty.hpp"
#include "router/once_desk.hpp"
#include "router/placement_duty.hpp"
#include "router/published_config.hpp"
#include "router/router_metrics.hpp"
#include "wire/rpc_client.hpp"
#include "wire/rpc_server.hpp"

namespace boragehill::router {

namespace {

constexpr milliseconds beat_interval{250};
/// 256 shards a service, so each is looked at about every three quarters of an
/// hour; by one router only, the home of this name.
constexpr milliseconds sweep_interval{10000};
const std::string sweep_target = "sweep:once";
constexpr milliseconds stuck_after{5000};

}  // namespace

pulse_duty::pulse_duty(pulse_parts owner)
    : parts(owner),
      next_sweep(time_point::clock::now() + sweep_interval),
      worker(
          "pulse", 1, beat_interval, [](std::monostate&) {},
          [this] { this->beat(); }) {}

void pulse_duty::beat() {
  const time_point now = time_point::clock::now();
  this->parts.config.on_tick(now);
  this->set_gauges();
  if (this->parts.home.tick_age() > stuck_after) {
    kernel::log_event(kernel::event::duty_stuck, {{"duty", "home"}});
  }
  if (now >= this->next_sweep) this->sweep(now);
}

void pulse_duty::note_confirmation(bool missing) {
  if (missing == this->unconfirmed) return;
  this->unconfirmed = missing;
  kernel::log_event(missing ? kernel::event::revision_unconfirmed
                            : kernel::event::revision_confirmed,
                    {{"revision", this->parts.config.current()->revision()}});
}

void pulse_duty::set_gauges() {
  router_metrics& metrics = this->parts.metrics;
  metrics.set_in_flight(static_cast<double>(this->parts.callers.in_flight()));
  metrics.set_revision(
      static_cast<double>(this->parts.config.current()->revision()));
  const auto refused = this->parts.callers.unready();
  metrics.set_ready(!refused.has_value());
  this->note_confirmation(refused && refused->code == result_code::not_ready);
  metrics.set_ring_depth("home", static_cast<double>(this->parts.home.depth()));
  metrics.set_ring_depth("placement",
                         static_cast<double>(this->parts.placement.depth()));
  metrics.set_control_bytes(
      static_cast<double>(this->parts.rpc.bytes_in() +
                          this->parts.control.bytes_in()),
      static_cast<double>(this->parts.rpc.bytes_out() +
                          this->parts.control.bytes_out()));
  metrics.set_grants_changed(
      static_cast<double>(this->parts.placement.grants_added()),
      static_cast<double>(this->parts.placement.grants_removed()));
  this->parts.home.post(
      question_message{[&metrics](const decide::home& decisions, time_point) {
        metrics.set_waiting(static_cast<double>(decisions.waiting()));
        metrics.set_permits_out(
            static_cast<double>(decisions.outstanding_permits()));
      }});
}

void pulse_duty::sweep(time_point now) {
  this->next_sweep = now + sweep_interval;
  const auto homes = this->parts.members.homes(sweep_target, 1, now);
  const bool own =
      !homes.empty() && homes.front().id == this->parts.members.self().id;
  if (!own) return;
  for (const auto& owner : this->parts.config.current()->profiles()) {
    for (const auto& service : owner.services) {
      this->parts.once.sweep(service, this->shard, this->parts.retention);
    }
  }
  ++this->shard;
}

}  // namespace boragehill::router
