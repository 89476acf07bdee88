// What the dispatcher does about requests that crash servers.

#include <absl/strings/str_join.h>
#include <set>
#include <utility>

#include "decide/quarantine_ages.hpp"
#include "fleet/quarantine_row.hpp"
#include "kernel/event_log.hpp"
#include "kernel/fingerprint.hpp"
#include "kernel/wall_clock.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

constexpr int ok_status = 200;
constexpr int first_failure_status = 300;
constexpr auto by_planner = "planner";
constexpr auto by_own_count = "own count";
constexpr auto by_store = "store";
/// Of a target in a line of the log.
constexpr std::size_t max_logged_target = 200;

void log_requests(const std::vector<std::string>& quarantined, const char* by) {
  for (const auto& each : quarantined) {
    kernel::log_event(kernel::event::convicted,
                      {{"fingerprint", each}, {"by", by}});
  }
}

void log_parts(const std::vector<std::string>& quarantined, const char* by) {
  for (const auto& each : quarantined) {
    kernel::log_event(kernel::event::prompt_part_quarantined,
                      {{"part", each}, {"by", by}});
  }
}

}  // namespace

void dispatcher::on_server_failed(const exchange& request, bool reached) {
  this->health.on_failure(request.server(), time_point::clock::now());
  const auto response = request.response_end();
  kernel::log_event(
      kernel::event::attempt_refused,
      {{"request", request.fields().attempt},
       {"server", request.server()},
       {"software", request.last_software()},
       {"reason", reached ? "answer broke off" : "connection failed"},
       {"unframed", response.unframed},
       {"events", response.events},
       {"inside_event", response.inside_event}});
  if (!reached) {
    this->reachability.on_failure(request.server(), time_point::clock::now());
    return;
  }
  const auto now = time_point::clock::now();
  this->on_interrupted(request, now);
  const auto& parts = request.fields().prompt_parts;
  // Copies that had begun to respond need not wait for each other.
  const decide::suspect_sighting run{
      .ran = milliseconds(ms_between(request.last_sent(), now)),
      .runs = response.events > 0 ? 0 : 1};
  this->interruptions.add(request.server(), request.fingerprint(), run, parts,
                          now);
  this->crashing_requests.on_interrupted(request.server(),
                                         {{request.fingerprint(), run}}, now);
  this->prompt_parts.on_interrupted(request.server(),
                                    decide::sightings_of(parts), now);
  const auto& what = request.request();
  const auto* host = what.head.headers.find("Host");
  kernel::log_event(kernel::event::striked,
                    {{"request", request.fields().attempt},
                     {"server", request.server()},
                     {"fingerprint", request.fingerprint()},
                     {"parts", absl::StrJoin(parts, ",")},
                     {"caller", what.caller},
                     {"method", what.head.method},
                     {"host", host ? *host : std::string()},
                     {"target", what.head.target.substr(0, max_logged_target)},
                     {"body", kernel::fingerprint_of({what.body})}});
  this->judge_crashes(now);
}

void dispatcher::add_crashes(wire::router_report& report) {
  const auto now = time_point::clock::now();
  report.interruptions = this->interruptions.take_unreported(now);
  report.cleared_requests = this->crashing_requests.take_cleared();
  report.completed_requests = this->crashing_requests.take_completed_before();
  report.wanted_trials = this->wanted_trials(now);
  report.cleared_parts = this->prompt_parts.take_cleared();
  report.completed_parts = this->prompt_parts.take_completed_before();
  if (!std::exchange(this->tells_quarantined, false)) return;
  report.quarantined = this->crashing_requests.quarantined(now);
  report.quarantined_parts = this->prompt_parts.quarantined(now);
}

bool dispatcher::awaits_trial(const exchange& request, time_point now) const {
  const auto& print = request.fingerprint();
  return this->crashing_requests.is_suspected(print, now) &&
         !this->trials.may_send(print, this->planner_linked, now);
}

void dispatcher::account_trial(const exchange& request,
                               const server_state& server, time_point now) {
  const auto& print = request.fingerprint();
  if (!this->crashing_requests.is_suspected(print, now)) return;
  this->trials.on_sent(print, now);
  kernel::log_event(kernel::event::suspect_sent,
                    {{"request", request.fields().attempt},
                     {"fingerprint", print},
                     {"server", server.entry.id},
                     {"planned", this->planner_linked}});
}

std::vector<std::string> dispatcher::wanted_trials(time_point now) const {
  std::set<std::string> wanted;
  for (const auto& [key, line] : this->lines) {
    for (const auto& each : line) {
      if (this->awaits_trial(*each, now)) wanted.insert(each->fingerprint());
    }
  }
  return {wanted.begin(), wanted.end()};
}

void dispatcher::clear(const exchange& request) {
  const int status = request.result().status;
  if (status < ok_status || status >= first_failure_status) return;
  const auto now = time_point::clock::now();
  this->prompt_parts.on_completed(request.fields().prompt_parts, now);
  if (!this->crashing_requests.on_completed({request.fingerprint()}, now)) {
    return;
  }
  kernel::log_event(kernel::event::request_cleared,
                    {{"request", request.fields().attempt},
                     {"fingerprint", request.fingerprint()},
                     {"server", request.last_server()},
                     {"status", status}});
}

void dispatcher::on_crash_news(const wire::view_update& update,
                               time_point now) {
  this->crashing_requests.on_planner_linked();
  this->prompt_parts.on_planner_linked();
  if (update.suspected_requests) {
    this->crashing_requests.on_suspected(*update.suspected_requests, now);
  }
  this->trials.on_granted(update.trials, now);
  if (update.suspected_parts) {
    this->prompt_parts.on_suspected(*update.suspected_parts, now);
  }
  if (update.quarantined_requests) {
    log_requests(this->crashing_requests.on_quarantined(
                     *update.quarantined_requests, update.whole, now),
                 by_planner);
  }
  if (update.quarantined_parts) {
    log_parts(this->prompt_parts.on_quarantined(*update.quarantined_parts,
                                                update.whole, now),
              by_planner);
  }
}

void dispatcher::restore_quarantine(const fleet::quarantine_row& row) {
  const auto now = time_point::clock::now();
  const auto now_ms = kernel::wall_clock_ms();
  log_requests(this->crashing_requests.restore(
                   decide::quarantine_ages(row.requests, now_ms), now),
               by_store);
  log_parts(this->prompt_parts.restore(
                decide::quarantine_ages(row.parts, now_ms), now),
            by_store);
}

void dispatcher::judge_crashes(time_point now) {
  log_requests(this->crashing_requests.update(now), by_own_count);
  log_parts(this->prompt_parts.update(now), by_own_count);
}

}  // namespace boragehill::serve
