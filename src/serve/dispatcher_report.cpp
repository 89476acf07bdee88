// What the dispatcher tells of its requests: to the log as each one ends, to
// the planner some times a second.

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "kernel/event_log.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

void dispatcher::on_finished(const exchange& request) {
  if (request.holds_retry()) {
    this->budget_of(request.service()).on_retry_dropped();
  }
  const auto& ended = request.result();
  this->metrics.on_ended(ended.code);
  if (ended.code == result_code::ok) this->clear(request);
  const auto now = time_point::clock::now();
  const bool one_run = request.sends().attempt_count() == 1;
  if (ended.code == result_code::ok && one_run && !request.slowed_by_caller()) {
    auto& pace = this->paces[request.service()];
    const int tokens = request.fields().output_tokens;
    if (tokens > 0) {
      const auto began = request.answered().value_or(now);
      pace.on_response(tokens, milliseconds(ms_between(began, now)), now);
    } else {
      pace.on_call(milliseconds(ms_between(request.last_sent(), now)), now);
    }
  }
  const auto received = request.request().received;
  const auto& asked = request.fields();
  if (request.answered()) {
    this->metrics.on_first_byte(
        milliseconds(ms_between(received, *request.answered())),
        !asked.model.empty());
  }
  if (request.first_sent()) {
    this->metrics.on_waited(
        milliseconds(ms_between(received, *request.first_sent())));
  }
  const auto response = request.response_end();
  const auto which =
      ended.code == result_code::ok            ? kernel::event::request_answered
      : ended.code == result_code::caller_gone ? kernel::event::caller_hung_up
      : ended.code == result_code::answer_broken ? kernel::event::answer_broken
      : ended.code == result_code::outcome_unknown
          ? kernel::event::outcome_unknown
          : kernel::event::request_refused;
  kernel::log_event(
      which,
      {{"request", asked.attempt},
       {"fingerprint", request.fingerprint()},
       {"route", request.route() ? request.route()->name : std::string()},
       {"service", request.service()},
       {"account", account_name(request)},
       {"model", asked.model},
       {"adapter", asked.adapter},
       {"status", ended.status},
       {"code", static_cast<int>(ended.code)},
       {"reason", ended.reason},
       {"server", request.last_server()},
       {"software", request.last_software()},
       {"last_event", asked.last_event.value_or("")},
       {"resumes", asked.resumed_attempt},
       {"sends", request.sends().attempt_count()},
       {"unframed", response.unframed},
       {"events", response.events},
       {"inside_event", response.inside_event},
       {"waited_ms", request.first_sent()
                         ? ms_between(received, *request.first_sent())
                         : ms_between(received, now)},
       {"first_ms",
        request.answered() ? ms_between(received, *request.answered()) : -1},
       {"objective_ms",
        request.route() ? request.route()->latency_objective.count() : 0},
       {"gap_ms", request.longest_gap().count()},
       {"gap_objective_ms",
        request.route() ? request.route()->gap_objective.count() : 0},
       {"all_ms", ms_between(received, now)},
       {"config", this->known_catalog ? this->known_catalog->version : -1}});
}

decide::demand_report dispatcher::take_report() {
  const auto now = time_point::clock::now();
  decide::demand_report report;
  // By the version that they are bound to, too.
  std::map<std::pair<demand_key, std::string>, decide::model_demand> demands;
  for (const auto& [key, count] : this->arrivals) {
    demands[{key, {}}].arrivals = count;
  }
  for (const auto& [key, line] : this->lines) {
    for (const auto& each : line) {
      const auto& versions = each->versions();
      if (decide::is_awaited(versions)) continue;
      auto& demand = demands[{key, this->is_restricted(*each)
                                       ? decide::bound_software(versions)
                                       : std::string()}];
      ++demand.waiting;
      if (each->is_late(now)) ++demand.late;
      demand.oldest_wait =
          std::max(demand.oldest_wait,
                   milliseconds(ms_between(each->request().received, now)));
      demand.weight +=
          this->has_accounts()
              ? decide::waiting_weight(waiting_candidate_of(*each), now)
              : 1.0 / (1 + each->route()->priority);
    }
  }
  for (auto& [key, demand] : demands) {
    std::tie(demand.service, demand.model, demand.adapter) = key.first;
    demand.software = key.second;
    if (!demand.model.empty()) report.demands.push_back(std::move(demand));
  }
  for (const auto& [key, count] : this->flights) {
    const auto& [server, model, adapter] = key;
    if (!model.empty())
      report.in_flight.push_back({server, model, adapter, count});
  }
  for (const auto& [id, state] : this->servers) {
    if (state.listed && state.silence.is_confirmed(now)) {
      report.unresponsive_servers.push_back(id);
    }
    if (state.listed && this->reachability.suspect(id, now)) {
      report.unreachable_servers.push_back(id);
    }
  }
  report.last_grant_round = this->grant_round;
  this->arrivals.clear();
  return report;
}

}  // namespace boragehill::serve
