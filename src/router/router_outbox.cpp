#include "router/router_outbox.hpp"

#include <utility>

#include "kernel/event_log.hpp"
#include "router/conviction_book.hpp"
#include "router/fleet.hpp"
#include "router/home_duty.hpp"
#include "router/load_pacer.hpp"
#include "router/permit_desk.hpp"
#include "router/placement_duty.hpp"
#include "wire/field_codec.hpp"
#include "wire/rpc_client.hpp"

namespace boragehill::router {

router_outbox::router_outbox(fleet& all, load_pacer& own_pacer,
                             permit_desk& places, wire::rpc_client& client,
                             kernel::task_pool& pool, milliseconds timeout)
    : members(all),
      pacer(own_pacer),
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

void router_outbox::carry_out(const decide::notify_entry& action) {
  if (action.entry == this->members.self().control) {
    const bool taken = this->desk.bring(action.response);
    if (!taken) this->home->post(withdraw_message{action.response.attempt});
    return;
  }
  // Lost here, it is told again at the entry's next renewal.
  this->calls.try_post([this, action] {
    const auto told =
        this->rpc.call(action.entry, "entry.permit",
                       wire::to_json(action.response), this->call_timeout);
    if (told) return;
    if (told.error() == result_code::caller_gone) {
      this->home->post(withdraw_message{action.response.attempt});
      return;
    }
    if (told.error() != result_code::peer_unreachable) return;
    // Nothing listens there any more, so its requests wait for nobody.
    this->home->post(entry_gone_message{action.entry});
  });
}

void router_outbox::carry_out(const decide::order_load& action) {
  const bool posted =
      this->calls.try_post([this, action] { this->wake(action); });
  if (!posted) this->home->post(wake_message{action, std::nullopt});
}

void router_outbox::carry_out(const decide::request_grants& action) {
  this->placement->post(action);
}

void router_outbox::carry_out(const decide::share_quarantine& action) {
  kernel::log_event(kernel::event::convicted,
                    {{"fingerprint", action.fingerprint}});
  this->convictions->add_own(action.fingerprint, time_point::clock::now());
}

void router_outbox::carry_out(const decide::report_load_end& action) {
  this->calls.try_post([this, action] {
    (void)this->ask_pace({.server = action.server,
                          .model = action.model,
                          .ended = true,
                          .took_ms = action.duration.count()});
  });
}

wire::pace_answer router_outbox::ask_pace(const wire::pace_request& request) {
  const time_point now = time_point::clock::now();
  const auto homes = this->members.homes(pacing_target, 1, now);
  // Without an answer the load goes ahead: a slower load is better than none.
  if (homes.empty()) return {};
  if (homes.front().id == this->members.self().id) {
    return this->pacer.ask(request, now);
  }
  const auto answer =
      this->rpc.call(homes.front().control, "home.pace", wire::to_json(request),
                     this->call_timeout);
  if (!answer) return {};
  const auto read = wire::from_json<wire::pace_answer>(answer.value());
  return read ? read.value() : wire::pace_answer{};
}

void router_outbox::wake(const decide::order_load& action) {
  if (action.from_store) {
    const auto pace =
        this->ask_pace({.server = action.server,
                        .model = action.order.model,
                        .time_left_ms = action.time_left.count()});
    if (!pace.start) {
      this->home->post(paced_message{action, milliseconds(pace.wait_ms)});
      return;
    }
  }
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
