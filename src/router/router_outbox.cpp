#include "router/router_outbox.hpp"

#include <utility>

#include "router/conviction_book.hpp"
#include "router/home_duty.hpp"
#include "router/permit_desk.hpp"
#include "router/placement_duty.hpp"
#include "wire/field_codec.hpp"
#include "wire/rpc_client.hpp"

namespace boragehill::router {

router_outbox::router_outbox(endpoint control, permit_desk& places,
                             wire::rpc_client& client, kernel::task_pool& pool,
                             milliseconds timeout)
    : own_control(std::move(control)),
      desk(places),
      rpc(client),
      calls(pool),
      call_timeout(timeout) {}

void router_outbox::connect(home_duty& own_home, placement_duty& grants,
                            conviction_book& book) {
  this->home = &own_home;
  this->placement = &grants;
  this->convictions = &book;
}

void router_outbox::carry_out(const decide::tell_entry& action) {
  if (action.entry == this->own_control) {
    const bool taken = this->desk.bring(action.answer);
    if (!taken) this->home->post(withdraw_message{action.answer.attempt});
    return;
  }
  // Lost here, it is told again at the entry's next renewal.
  this->calls.try_post([this, action] {
    const auto told =
        this->rpc.call(action.entry, "entry.permit",
                       wire::to_json(action.answer), this->call_timeout);
    if (told) return;
    if (told.error() == result_code::caller_gone) {
      this->home->post(withdraw_message{action.answer.attempt});
      return;
    }
    if (told.error() != result_code::peer_unreachable) return;
    // Nothing listens there any more, so its requests wait for nobody.
    this->home->post(entry_gone_message{action.entry});
  });
}

void router_outbox::carry_out(const decide::order_wake& action) {
  const bool posted =
      this->calls.try_post([this, action] { this->wake(action); });
  if (!posted) this->home->post(wake_message{action, std::nullopt});
}

void router_outbox::carry_out(const decide::want_grants& action) {
  this->placement->post(action);
}

void router_outbox::carry_out(const decide::share_conviction& action) {
  this->convictions->add_own(action.fingerprint);
}

void router_outbox::wake(const decide::order_wake& action) {
  const auto answer =
      this->rpc.call(action.control, "agent.wake", wire::to_json(action.order),
                     this->call_timeout);
  wake_message message{action, std::nullopt};
  if (answer) {
    const auto read = wire::from_json<wire::wake_answer>(answer.value());
    if (read) message.answer = read.value();
  } else if (answer.error() != result_code::peer_unreachable &&
             answer.error() != result_code::peer_timeout) {
    message.answer =
        wire::wake_answer{.code = answer.error().value(), .ready_in_ms = 0};
  }
  this->home->post(std::move(message));
}

}  // namespace boragehill::router
