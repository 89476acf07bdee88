#ifndef BORAGEHILL_ROUTER_DRIVER_PARTS_HPP
#define BORAGEHILL_ROUTER_DRIVER_PARTS_HPP

#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "decide/flow_limits.hpp"

namespace boragehill::kernel {
class task_pool;
class tracer;
}  // namespace boragehill::kernel

namespace boragehill::wire {
class rpc_client;
}

namespace boragehill::router {

class done_duty;
class fleet;
class home_link;
class once_desk;
class permit_desk;
class router_metrics;
class shared_retry_budget;

/// What carrying a request through needs of its router; all of it outlives the
/// request.
struct driver_parts {
  fleet& members;
  home_link& homes;
  permit_desk& desk;
  done_duty& done;
  once_desk& once;
  wire::rpc_client& rpc;
  kernel::task_pool& calls;
  kernel::tracer& traces;
  shared_retry_budget& budget;
  router_metrics& metrics;
  decide::flow_limits limits;
  std::string incarnation;
  milliseconds call_timeout;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_DRIVER_PARTS_HPP
