// What the dispatcher does about requests that wait, and about a stop, which
// shortens the time that they have.

#include <algorithm>
#include <utility>
#include <vector>

#include "decide/response_size.hpp"
#include "decide/wait_limit.hpp"
#include "kernel/event_log.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

/// A caller that is refused by a router that stops reaches another one.
constexpr milliseconds other_router_takes{50};

}  // namespace

bool dispatcher::may_start(const exchange& request, time_point now) {
  return request.is_wanted(now) && !this->barred(request, now) &&
         !this->awaits_trial(request, now) &&
         !this->would_be_cut(request, now) && !this->lacks_quota(request, now);
}

bool dispatcher::would_be_cut(const exchange& request, time_point start) const {
  // Nobody knows what is left of an answer that has begun, and without another
  // run it is cut for sure.
  if (request.answered()) return false;
  if (request.is_long_running() &&
      this->gate.rejects_long_response(request.request().received,
                                       request.due())) {
    return true;
  }
  return this->gate.rejects(this->answer_time(request, start), start);
}

milliseconds dispatcher::answer_time(const exchange& request,
                                     time_point now) const {
  const decide::response_size size{.max_tokens = request.fields().output_tokens,
                                   .hint = request.fields().output_hint};
  const auto found = this->paces.find(request.service());
  const auto& pace = found == this->paces.end()
                         ? decide::response_time_estimate()
                         : found->second;
  return pace.max_response_time(size.safe_tokens(), now);
}

void dispatcher::log_sent_while_stopping(const exchange& request,
                                         const std::string& server,
                                         time_point now) const {
  const auto left = this->gate.time_left(now);
  if (!left) return;
  const auto& asked = request.fields();
  kernel::log_event(
      kernel::event::sent_while_stopping,
      {{"request", asked.attempt},
       {"server", server},
       {"max_tokens", asked.output_tokens},
       {"hint", asked.output_hint.value_or(-1)},
       {"needed_ms", this->answer_time(request, now).count()},
       {"left_ms", left->count()},
       {"waited_ms", ms_between(request.request().received, now)}});
}

decide::wait_state dispatcher::waiting_of(const exchange& request,
                                          time_point now) const {
  const auto& route = *request.route();
  return {.waited = milliseconds(ms_between(request.request().received, now)),
          .remaining = milliseconds(ms_between(now, request.due())),
          .is_stream = route.rule == fleet::repeat_rule::stream,
          .first_event_objective = route.latency_objective,
          .gap_objective = route.gap_objective};
}

milliseconds dispatcher::rest_left(const exchange& request) const {
  if (this->resting.empty()) return milliseconds(0);
  const auto now = time_point::clock::now();
  std::optional<time_point> soonest;
  for (const auto& [id, server] : this->servers) {
    if (!this->suits(server, request)) continue;
    const auto end = this->resting.until(id, now);
    if (!end) return milliseconds(0);
    soonest = soonest ? std::min(*soonest, *end) : *end;
  }
  if (!soonest) return milliseconds(0);
  return std::chrono::ceil<milliseconds>(*soonest - now);
}

std::optional<dispatcher::refusal> dispatcher::in_vain(const exchange& request,
                                                       time_point now) const {
  if (auto why = this->barred(request, now)) return why;
  const bool listed =
      decide::is_awaited(request.versions()) || this->may_get_server(request);
  auto waiting = this->waiting_of(request, now);
  // A stream that broke off goes on as soon as there is a server.
  waiting.has_server = listed || request.answered();
  const auto known = this->expected.find(request.fields().model);
  // The planner speaks of servers of any version.
  if (known != this->expected.end() && !this->is_restricted(request)) {
    waiting.ready_in =
        milliseconds(std::max<std::int64_t>(ms_between(now, known->second), 0));
  }
  const auto rest = this->rest_left(request);
  const bool rests = rest > milliseconds(0);
  if (rests) waiting.ready_in = std::min(waiting.ready_in.value_or(rest), rest);
  const auto limited = this->rate_limit_wait(request, now);
  const bool is_limited = limited > milliseconds(0);
  if (is_limited) {
    waiting.ready_in = std::min(waiting.ready_in.value_or(limited), limited);
  }
  const auto start = now + waiting.ready_in.value_or(milliseconds(0));
  if (this->would_be_cut(request, start)) {
    return refusal{result_code::draining, "the router stops",
                   other_router_takes};
  }
  const auto back = decide::retry_after_if_rejected(waiting);
  if (!back) return std::nullopt;
  if (!listed) {
    return refusal{result_code::no_server, "no server takes new requests",
                   *back};
  }
  if (rests) {
    return refusal{result_code::server_busy, "all servers asked for rest",
                   *back};
  }
  if (is_limited) {
    return refusal{result_code::server_busy, "all servers limit their rate",
                   *back};
  }
  return refusal{result_code::deadline_unreachable,
                 "no worker has the model in time", *back};
}

void dispatcher::judge_waiting() {
  const auto now = time_point::clock::now();
  this->settle_versions();
  std::vector<std::pair<std::shared_ptr<exchange>, refusal>> refused;
  for (const auto& [key, line] : this->lines) {
    for (const auto& each : line) {
      if (const auto vain = this->in_vain(*each, now)) {
        refused.emplace_back(each, *vain);
      }
    }
  }
  this->judge_quotas(now, refused);
  for (const auto& [request, vain] : refused) {
    this->withdraw(*request);
    request->refuse(vain.code, vain.reason, vain.retry_after);
  }
  // No news of a planner would let a suspected request go on.
  if (!this->planner_linked) this->serve_waiting();
}

void dispatcher::begin_stop(time_point until) {
  const auto now = time_point::clock::now();
  kernel::log_event(kernel::event::drain_started,
                    {{"running", this->running()},
                     {"waiting", this->waiting()},
                     {"until_ms", ms_between(now, until)}});
  this->gate.begin_shutdown(now, until);
}

void dispatcher::end_stop() {
  kernel::log_event(kernel::event::drain_ended, {{"running", this->running()},
                                                 {"waiting", this->waiting()}});
  this->gate.reject_all();
  this->judge_waiting();
  // Requests that end change the servers' lists of them.
  std::vector<std::shared_ptr<exchange>> open;
  for (const auto& [key, line] : std::exchange(this->lines, {})) {
    open.insert(open.end(), line.begin(), line.end());
  }
  for (const auto& [id, state] : this->servers) {
    for (const auto& [key, request] : state.requests) open.push_back(request);
  }
  for (const auto& each : open) each->give_up("the router stops");
}

bool dispatcher::shut_if_idle() {
  if (this->waiting() + this->running() > 0) return false;
  this->gate.reject_all();
  return true;
}

}  // namespace boragehill::serve
