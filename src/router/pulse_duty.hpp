#ifndef BORAGEHILL_ROUTER_PULSE_DUTY_HPP
#define BORAGEHILL_ROUTER_PULSE_DUTY_HPP

#include <cstdint>
#include <variant>

#include <boragehill/time_point.hpp>

#include "kernel/duty.hpp"

namespace boragehill::wire {
class rpc_client;
class rpc_server;
}  // namespace boragehill::wire

namespace boragehill::router {

class caller_listener;
class fleet;
class home_duty;
class once_desk;
class placement_duty;
class published_config;
class router_metrics;

/// What the pulse looks at; all of it outlives the duty.
struct pulse_parts {
  fleet& members;
  published_config& config;
  home_duty& home;
  placement_duty& placement;
  caller_listener& callers;
  router_metrics& metrics;
  wire::rpc_client& rpc;
  wire::rpc_server& control;
  once_desk& once;
  milliseconds retention;
};

/// The thread that beats steadily: it tells the configuration's view that the
/// process runs, so that a pause is noticed, sets the gauges, and now and then
/// sweeps one shard of old results.
class pulse_duty {
 public:
  explicit pulse_duty(pulse_parts parts);

  void start() { this->worker.start(); }
  void stop() { this->worker.stop(); }

 private:
  void beat();
  void set_gauges();
  void note_confirmation(bool missing);
  void sweep(time_point now);

  pulse_parts parts;
  time_point next_sweep;
  std::uint8_t shard = 0;
  /// As last logged; a router starts without a confirmed revision.
  bool unconfirmed = true;
  kernel::duty<std::monostate> worker;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_PULSE_DUTY_HPP
