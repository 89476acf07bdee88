#ifndef BORAGEHILL_ROUTER_ROUTER_OUTBOX_HPP
#define BORAGEHILL_ROUTER_ROUTER_OUTBOX_HPP

#include <functional>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "kernel/task_pool.hpp"
#include "router/home_outbox.hpp"
#include "wire/permit_answer.hpp"

namespace boragehill::wire {
class rpc_client;
}

namespace boragehill::router {

class conviction_book;
class home_duty;
class permit_desk;
class placement_duty;

/// Carries a home's actions out: answers to entry routers and wakes go over
/// the control protocol from a few threads, grants to the placement duty.
class router_outbox final : public home_outbox {
 public:
  router_outbox(endpoint own_control, permit_desk& desk, wire::rpc_client& rpc,
                kernel::task_pool& calls, milliseconds call_timeout);

  /// Names the duties that the outbox hands work to; once, before any action.
  void connect(home_duty& home, placement_duty& placement,
               conviction_book& convictions);

  void carry_out(const decide::tell_entry& action) override;
  void carry_out(const decide::order_wake& action) override;
  void carry_out(const decide::want_grants& action) override;
  void carry_out(const decide::share_conviction& action) override;

 private:
  void wake(const decide::order_wake& action);

  endpoint own_control;
  permit_desk& desk;
  wire::rpc_client& rpc;
  kernel::task_pool& calls;
  milliseconds call_timeout;
  home_duty* home = nullptr;
  placement_duty* placement = nullptr;
  conviction_book* convictions = nullptr;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_ROUTER_OUTBOX_HPP
