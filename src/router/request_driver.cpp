#include "router/request_driver.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include "kernel/event_log.hpp"
#include "kernel/random.hpp"
#include "kernel/task_pool.hpp"
#include "router/answer_collector.hpp"
#include "router/attempt_call.hpp"
#include "router/attempt_follower.hpp"
#include "router/done_duty.hpp"
#include "router/fleet.hpp"
#include "router/home_link.hpp"
#include "router/live_answer.hpp"
#include "router/permit_desk.hpp"
#include "router/router_metrics.hpp"
#include "router/shared_retry_budget.hpp"

namespace boragehill::router {

namespace {

constexpr std::size_t homes_considered = 8;
/// How often a waiting request looks whether its caller hung up.
constexpr milliseconds hang_up_poll{500};

decide::flow_request facts_of(const driver_parts& parts,
                              const accepted_request& request,
                              std::uint64_t sequence) {
  return {.incarnation = parts.incarnation,
          .sequence = sequence,
          .entry = parts.members.self().control,
          .target = request.target,
          .adapter = request.adapter,
          .profile = request.profile,
          .fingerprint = request.fingerprint,
          .priority = request.priority,
          .non_idempotent = request.non_idempotent,
          .has_idempotency_key =
              request.non_idempotent && !request.idempotency_key.empty(),
          .deadline = request.deadline};
}

wire::attempt_outcome outcome_of(const decide::attempt_result& result) {
  switch (result.ending) {
    case decide::attempt_ending::complete:
      return wire::attempt_outcome::answered;
    case decide::attempt_ending::refused:
      return wire::attempt_outcome::refused;
    case decide::attempt_ending::not_sent:
      return wire::attempt_outcome::lost;
    case decide::attempt_ending::caller_disconnected:
      return wire::attempt_outcome::cancelled;
    case decide::attempt_ending::interrupted:
      break;
  }
  if (result.server_crashed) return wire::attempt_outcome::crashed;
  if (result.code == result_code::deadline_passed) {
    return wire::attempt_outcome::cancelled;
  }
  return wire::attempt_outcome::lost;
}

/// Tells the home how an attempt ended, and the log if it was not well.
void report_end(driver_parts& parts, const vm_info& home,
                const accepted_request& request, const decide::dispatch& step,
                const decide::attempt_result& result) {
  const wire::attempt_end end{.attempt = step.attempt.to_string(),
                              .target = request.target,
                              .server = step.permit.server,
                              .fingerprint = request.fingerprint,
                              .outcome = outcome_of(result)};
  // A crash is told before the next permit is asked for. Told later, the home
  // would not know of the second crash yet when it permits the third run, and
  // a request that crashes every server would bring one more down.
  if (end.outcome == wire::attempt_outcome::crashed) {
    kernel::log_event(kernel::event::striked,
                      {{"attempt", end.attempt},
                       {"server", end.server},
                       {"fingerprint", end.fingerprint}});
    parts.done.tell(home, end);
  } else {
    parts.done.post(home, end);
  }
  if (result.ending == decide::attempt_ending::complete) return;
  kernel::log_event(kernel::event::attempt_refused,
                    {{"attempt", step.attempt.to_string()},
                     {"server", step.permit.server},
                     {"code", make_error_code(result.code)},
                     {"crashed", result.server_crashed}});
}

}  // namespace

request_driver::request_driver(driver_parts& owner, accepted_request accepted,
                               std::uint64_t sequence, caller_watch watched)
    : parts(owner),
      request(std::move(accepted)),
      caller(std::move(watched)),
      hop(owner.traces, "router.request", request.trace),
      flow(
          facts_of(owner, request, sequence), owner.limits,
          [this] {
            this->parts.metrics.on_retry();
            return this->parts.budget.take_retry();
          },
          kernel::random_bits) {
  this->hop.tag("service", this->request.service);
  this->hop.tag("target", this->request.target);
}

request_driver::outcome request_driver::run() {
  const bool keyed =
      this->request.non_idempotent && !this->request.idempotency_key.empty();
  if (keyed) {
    auto found = this->parts.once.open(this->request);
    if (auto* earlier = std::get_if<whole_answer>(&found)) {
      return std::move(*earlier);
    }
    if (auto* refused = std::get_if<refusal>(&found)) {
      return std::move(*refused);
    }
    this->ticket = std::get<once_ticket>(found);
  }
  this->parts.budget.on_first_attempt();
  decide::flow_step step = this->flow.begin(time_point::clock::now());
  while (!decide::is_final(step)) {
    step = std::visit(
        [this](const auto& each) { return this->carry_out(each); }, step);
  }
  return this->conclude(step);
}

decide::flow_step request_driver::carry_out(
    const decide::request_permit& step) {
  const auto chosen = this->pick_home();
  if (!chosen) return this->flow.on_home_lost(time_point::clock::now());
  this->home = *chosen;
  const std::string& attempt = step.request.attempt;
  this->parts.desk.open(attempt, this->home);
  const auto reply = this->parts.homes.ask(this->home, step.request);
  const time_point now = time_point::clock::now();
  if (!reply) {
    this->parts.desk.close(attempt);
    this->lost_homes.insert(this->home.id);
    return this->flow.on_home_lost(now);
  }
  this->permit = reply.value();
  if (this->permit.state == wire::permit_state::queued) {
    this->parts.desk.mark_queued(attempt);
    return this->flow.on_permit(this->permit, now);
  }
  this->parts.desk.close(attempt);
  if (this->permit.state == wire::permit_state::not_home) {
    this->lost_homes.insert(this->home.id);
  }
  return this->flow.on_permit(this->permit, now);
}

decide::flow_step request_driver::carry_out(const decide::await_permit& step) {
  this->waited = true;
  kernel::span wait(this->parts.traces, "router.wait", this->hop.context());
  wait.tag("home", this->home.id);
  const std::string attempt = step.attempt.to_string();
  const auto told = this->await(attempt, step.until);
  this->parts.desk.close(attempt);
  const time_point now = time_point::clock::now();
  if (told) {
    this->permit = *told;
    return this->flow.on_permit(*told, now);
  }
  // Off this thread: a frozen home must not cost the caller its time.
  this->parts.calls.try_post(
      [&owner = this->parts, home = this->home, attempt] {
        owner.homes.withdraw(home, attempt);
      });
  if (this->caller.gone()) return this->flow.on_caller_disconnected();
  if (now < step.until) this->lost_homes.insert(this->home.id);
  return this->flow.on_home_lost(now);
}

decide::flow_step request_driver::carry_out(const decide::write_claim& step) {
  const auto code = this->parts.once.claim(this->ticket, this->request,
                                           step.attempt, step.permit);
  const time_point now = time_point::clock::now();
  if (code != result_code::ok) {
    const decide::dispatch unused{step.attempt, step.permit};
    report_end(this->parts, this->home, this->request, unused,
               {.ending = decide::attempt_ending::refused, .code = code});
  }
  return this->flow.on_claim_written(code, now);
}

decide::flow_step request_driver::carry_out(const decide::dispatch& step) {
  kernel::span hop_out(this->parts.traces, "router.attempt",
                       this->hop.context());
  hop_out.tag("server", step.permit.server);
  hop_out.tag("attempt", step.attempt.to_string());
  auto call = std::make_unique<attempt_call>(
      this->request, step.attempt, step.permit, hop_out.context().to_string());
  attempt_follower follower(this->parts, this->request, this->caller, step);
  auto first = follower.next(*call);
  if (this->becomes_stream(first)) {
    this->begin_stream(std::move(call), first, step);
    return decide::delivered{};
  }
  const auto result = this->collect(*call, follower, std::move(first));
  report_end(this->parts, this->home, this->request, step, result);
  return this->flow.on_attempt(result, time_point::clock::now());
}

bool request_driver::becomes_stream(const received& first) const {
  if (!this->request.streamed || !this->ticket.row_key.empty()) return false;
  const auto* frame = std::get_if<wire::answer_frame>(&first);
  if (frame == nullptr) return false;
  const auto* head = std::get_if<wire::frame_head>(frame);
  return head != nullptr && head->status == 200;
}

void request_driver::begin_stream(std::unique_ptr<attempt_call> call,
                                  const received& first,
                                  const decide::dispatch& step) {
  const auto& frame = std::get<wire::answer_frame>(first);
  // The answer outlives this driver.
  const auto at_end = [&owner = this->parts, at = this->home, step,
                       asked = this->request](const auto& result) {
    report_end(owner, at, asked, step, result);
  };
  this->live = std::make_shared<live_answer>(
      std::move(call), std::get<wire::frame_head>(frame).content_type, at_end);
}

decide::attempt_result request_driver::collect(attempt_call& call,
                                               attempt_follower& follower,
                                               received next) {
  answer_collector collector;
  while (const auto* frame = std::get_if<wire::answer_frame>(&next)) {
    collector.take(*frame);
    next = follower.next(call);
  }
  const auto result = std::get<decide::attempt_result>(next);
  if (result.ending == decide::attempt_ending::complete) {
    this->answer = collector.so_far();
  }
  return result;
}

decide::flow_step request_driver::carry_out(
    const decide::query_attempt_status& step) {
  const auto fate =
      this->parts.once.fate(step.attempt.to_string(), step.permit.control,
                            step.permit.fence, step.permit.permit_end_ms);
  return this->flow.on_attempt_status(fate, time_point::clock::now());
}

decide::flow_step request_driver::carry_out(
    const decide::fetch_stored_response& step) {
  this->answer = this->parts.once.fetch_kept(
      step.attempt.to_string(), step.permit.data, this->request.deadline);
  return this->flow.on_stored_response(this->answer.has_value(),
                                       time_point::clock::now());
}

decide::flow_step request_driver::carry_out(const decide::pause_until& step) {
  kernel::log_event(kernel::event::retry,
                    {{"attempt", this->flow.attempt().to_string()},
                     {"target", this->request.target}});
  std::this_thread::sleep_until(step.until);
  return this->flow.on_pause_over(time_point::clock::now());
}

decide::flow_step request_driver::carry_out(const decide::delivered& step) {
  return step;
}

decide::flow_step request_driver::carry_out(
    const decide::refuse_request& step) {
  return step;
}

std::optional<wire::permit_answer> request_driver::await(
    const std::string& attempt, time_point until) {
  while (true) {
    const time_point look = time_point::clock::now() + hang_up_poll;
    auto told = this->parts.desk.await(attempt, std::min(until, look));
    const time_point now = time_point::clock::now();
    // Before its time is up, the desk wakes a waiter only for good.
    if (told || now < std::min(until, look) || now >= until) return told;
    if (this->caller.gone()) return std::nullopt;
  }
}

std::optional<vm_info> request_driver::pick_home() {
  const auto homes = this->parts.members.homes(
      this->request.target, homes_considered, time_point::clock::now());
  const auto found = std::find_if(
      homes.begin(), homes.end(),
      [this](const vm_info& vm) { return !this->lost_homes.contains(vm.id); });
  if (found == homes.end()) return std::nullopt;
  return *found;
}

request_driver::outcome request_driver::conclude(
    const decide::flow_step& last) {
  if (this->live) return this->live;
  const time_point now = time_point::clock::now();
  if (const auto* refused = std::get_if<decide::refuse_request>(&last)) {
    this->hop.tag("refused", name_of(refused->response.code));
    return refused->response;
  }
  if (!this->ticket.row_key.empty()) {
    this->parts.once.settle(this->ticket, this->request, this->flow.attempt(),
                            this->permit, *this->answer);
  }
  this->parts.metrics.on_answered(
      std::chrono::duration_cast<milliseconds>(now - this->request.accepted_at),
      this->waited);
  return *std::move(this->answer);
}

}  // namespace boragehill::router
