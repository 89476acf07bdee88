#ifndef BORAGEHILL_ROUTER_CONTROL_METHODS_HPP
#define BORAGEHILL_ROUTER_CONTROL_METHODS_HPP

#include <atomic>

#include <boragehill/time_point.hpp>

namespace boragehill::wire {
class rpc_server;
}

namespace boragehill::router {

class fleet;
class heartbeat_duty;
class home_duty;
class load_pacer;
class permit_desk;
class placement_duty;
class published_config;
class request_log;

/// What a router's control methods act on; all of it outlives the server.
struct control_parts {
  fleet& members;
  published_config& config;
  home_duty& home;
  load_pacer& pacer;
  permit_desk& desk;
  placement_duty& placement;
  heartbeat_duty& heartbeats;
  request_log& log;
  /// Set while this router leaves: it is home for nothing new.
  std::atomic<bool>& draining;
  milliseconds call_timeout;
};

/// Adds the methods that other routers and agents call: `home.*`, `entry.*`
/// and `peer.*`.
void add_control_methods(wire::rpc_server& server, control_parts& parts);

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_CONTROL_METHODS_HPP
