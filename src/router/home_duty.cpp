#include "router/home_duty.hpp"

#include <utility>

#include "decide/catalog.hpp"
#include "router/home_outbox.hpp"

namespace boragehill::router {

namespace {

constexpr milliseconds tick_interval{50};

}  // namespace

home_duty::home_duty(decide::home_settings settings,
                     decide::crash_attribution_settings strikes,
                     std::size_t capacity, home_outbox& destination)
    : decisions(settings, strikes),
      outbox(destination),
      worker(
          "home", capacity, tick_interval,
          [this](home_message& message) { this->handle(message); },
          [this] {
            this->decisions.tick(time_point::clock::now());
            this->send_actions();
          }) {}

wire::permit_answer home_duty::ask(const wire::permit_request& request,
                                   milliseconds limit) {
  wire::permit_answer overloaded{.attempt = request.attempt};
  overloaded.state = wire::permit_state::refused;
  overloaded.code = static_cast<int>(result_code::router_overloaded);
  overloaded.retry_after_ms = limit.count();
  overloaded.reason = "the home's inbox is full";
  permit_message message{.ask = request, .answer = {}};
  auto answer = message.answer.get_future();
  if (!this->post(std::move(message))) return overloaded;
  if (answer.wait_for(limit) != std::future_status::ready) {
    // The request may still be queued; it must not keep a place.
    this->post(withdraw_message{request.attempt});
    return overloaded;
  }
  return answer.get();
}

std::vector<std::string> home_duty::renew(
    const std::vector<std::string>& attempts, milliseconds limit) {
  renewal_message message{.attempts = attempts, .unknown = {}};
  auto unknown = message.unknown.get_future();
  if (!this->post(std::move(message))) return attempts;
  if (unknown.wait_for(limit) != std::future_status::ready) return attempts;
  return unknown.get();
}

bool home_duty::question(
    std::function<void(const decide::home&, time_point)> ask,
    milliseconds limit) {
  auto asked = std::make_shared<std::promise<void>>();
  auto answered = asked->get_future();
  const bool posted = this->post(question_message{
      [ask = std::move(ask), asked](const decide::home& home, time_point now) {
        ask(home, now);
        asked->set_value();
      }});
  if (!posted) return false;
  return answered.wait_for(limit) == std::future_status::ready;
}

void home_duty::handle(home_message& message) {
  const time_point now = time_point::clock::now();
  std::visit([&](auto& event) { this->handle(event, now); }, message);
  this->send_actions();
}

void home_duty::handle(permit_message& message, time_point now) {
  message.answer.set_value(this->decisions.request_permit(message.ask, now));
}

void home_duty::handle(renewal_message& message, time_point now) {
  (void)now;
  message.unknown.set_value(this->decisions.on_renewal(message.attempts));
}

void home_duty::handle(done_message& message, time_point now) {
  for (const auto& end : message.done.ends)
    this->decisions.on_attempt_end(end, now);
}

void home_duty::handle(withdraw_message& message, time_point now) {
  this->decisions.withdraw(message.attempt, now);
}

void home_duty::handle(report_message& message, time_point now) {
  this->decisions.on_report(message.report, now);
}

void home_duty::handle(wake_message& message, time_point now) {
  if (message.answer) {
    this->decisions.on_load_response(message.wake, *message.answer, now);
    return;
  }
  this->decisions.on_load_order_lost(message.wake, now);
}

void home_duty::handle(paced_message& message, time_point now) {
  this->decisions.on_load_deferred(message.wake, message.wait, now);
}

void home_duty::handle(servers_message& message, time_point now) {
  this->decisions.on_servers(message.target, std::move(message.servers), now);
}

void home_duty::handle(server_trouble_message& message, time_point now) {
  if (message.leaving) {
    this->decisions.on_draining(message.server);
    return;
  }
  this->decisions.on_suspected(message.server, now);
}

void home_duty::handle(entry_gone_message& message, time_point now) {
  this->decisions.on_entry_lost(message.entry, now);
}

void home_duty::handle(catalog_message& message, time_point now) {
  this->decisions.on_catalog(*message.published, now);
}

void home_duty::handle(conviction_message& message, time_point now) {
  this->decisions.on_quarantine(message.fingerprint, now);
}

void home_duty::handle(question_message& message, time_point now) {
  message.ask(this->decisions, now);
}

void home_duty::send_actions() {
  for (const auto& action : this->decisions.take_actions()) {
    std::visit([&](const auto& each) { this->outbox.carry_out(each); }, action);
  }
}

}  // namespace boragehill::router
