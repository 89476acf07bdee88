#ifndef BORAGEHILL_ROUTER_ROUTER_OUTBOX_HPP
#define BORAGEHILL_ROUTER_ROUTER_OUTBOX_HPP

#include <functional>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "kernel/task_pool.hpp"
#include "router/home_outbox.hpp"
#include "wire/pace_answer.hpp"
#include "wire/pace_request.hpp"
#include "wire/permit_answer.hpp"

namespace boragehill::wire {
class rpc_client;
}

namespace boragehill::router {

class conviction_book;
class fleet;
class home_duty;
class load_pacer;
class permit_desk;
class placement_duty;

/// Carries a home's actions out: answers to entry routers and wakes go over
/// the control protocol from a few threads, grants to the placement duty.
class router_outbox final : public home_outbox {
 public:
  router_outbox(fleet& members, load_pacer& pacer, permit_desk& desk,
                wire::rpc_client& rpc, kernel::task_pool& calls,
                milliseconds call_timeout);

  /// Names the duties that the outbox hands work to; once, before any action.
  void connect(home_duty& home, placement_duty& placement,
               conviction_book& convictions);

  void carry_out(const decide::notify_entry& action) override;
  void carry_out(const decide::order_load& action) override;
  void carry_out(const decide::request_grants& action) override;
  void carry_out(const decide::share_quarantine& action) override;
  void carry_out(const decide::report_load_end& action) override;

 private:
  void wake(const decide::order_load& action);
  wire::pace_answer ask_pace(const wire::pace_request& request);

  fleet& members;
  load_pacer& pacer;
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
