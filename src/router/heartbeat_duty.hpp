#ifndef BORAGEHILL_ROUTER_HEARTBEAT_DUTY_HPP
#define BORAGEHILL_ROUTER_HEARTBEAT_DUTY_HPP

#include <atomic>
#include <cstddef>
#include <string>
#include <variant>

#include <boragehill/time_point.hpp>
#include <boragehill/vm_info.hpp>

#include "kernel/duty.hpp"
#include "kernel/task_pool.hpp"
#include "wire/peer_heartbeat.hpp"

namespace boragehill::wire {
class rpc_client;
}

namespace boragehill::router {

class catalog_duty;
class conviction_book;
class fleet;
class home_duty;
class published_config;

/// The thread that sends heartbeats to a few random routers each interval, so
/// that a revision reaches all of them in a few rounds at a cost that does not
/// grow with their number.
class heartbeat_duty {
 public:
  heartbeat_duty(std::string incarnation, fleet& members,
                 published_config& config, conviction_book& convictions,
                 catalog_duty& catalogs, home_duty& home, wire::rpc_client& rpc,
                 kernel::task_pool& calls, std::size_t peers,
                 milliseconds interval, milliseconds call_timeout);

  void start() { this->worker.start(); }
  void stop() { this->worker.stop(); }

  /// Returns this router's heartbeat as of now.
  wire::peer_heartbeat own() const;

  /// Takes a heartbeat that a peer sent on its own.
  void receive(const wire::peer_heartbeat& from);

  /// Says in every further heartbeat that this router is leaving.
  void set_draining() { this->draining = true; }

 private:
  void send_round();
  void send_to(const vm_info& peer);
  void learn(const wire::peer_heartbeat& from);

  std::string incarnation;
  fleet& members;
  published_config& config;
  conviction_book& convictions;
  catalog_duty& catalogs;
  home_duty& home;
  wire::rpc_client& rpc;
  kernel::task_pool& calls;
  std::size_t peer_count;
  milliseconds call_timeout;
  std::atomic<bool> draining{false};
  kernel::duty<std::monostate> worker;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_HEARTBEAT_DUTY_HPP
