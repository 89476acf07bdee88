// What the dispatcher does about requests that crash servers.

#include <absl/strings/str_join.h>
#include <utility>

#include "kernel/event_log.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

constexpr int ok_status = 200;
constexpr int first_failure_status = 300;

}  // namespace

void dispatcher::on_server_failed(const exchange& request, bool reached) {
  this->health.on_failure(request.server(), time_point::clock::now());
  const auto response = request.response_end();
  kernel::log_event(
      kernel::event::attempt_refused,
      {{"request", request.fields().attempt},
       {"server", request.server()},
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
  const bool may_be_cause = this->crashes.on_interrupted(request.fingerprint(),
                                                         request.server(), now);
  this->interruptions.add(request.server(),
                          may_be_cause ? request.fingerprint() : std::string(),
                          parts, now);
  this->prompt_parts.on_interrupted(
      decide::interruption_of(request.server(), parts), now);
  kernel::log_event(kernel::event::striked,
                    {{"request", request.fields().attempt},
                     {"server", request.server()},
                     {"fingerprint", request.fingerprint()},
                     {"parts", absl::StrJoin(parts, ",")}});
}

void dispatcher::add_crashes(wire::router_report& report) {
  const auto now = time_point::clock::now();
  report.interruptions = this->interruptions.take_unreported(now);
  report.cleared_parts = this->prompt_parts.take_cleared();
  report.completed_parts = this->prompt_parts.take_completed_before();
  if (!std::exchange(this->tells_quarantined, false)) return;
  report.quarantined = this->crashes.quarantined_requests(now);
  report.quarantined_parts = this->prompt_parts.quarantined(now);
}

void dispatcher::clear(const exchange& request) {
  const int status = request.result().status;
  if (this->crashes.on_completed(request.fingerprint())) {
    kernel::log_event(kernel::event::request_cleared,
                      {{"request", request.fields().attempt},
                       {"fingerprint", request.fingerprint()},
                       {"server", request.last_server()},
                       {"status", status}});
  }
  if (status < ok_status || status >= first_failure_status) return;
  this->prompt_parts.on_completed(request.fields().prompt_parts,
                                  time_point::clock::now());
}

void dispatcher::on_part_news(const wire::view_update& update, time_point now) {
  this->prompt_parts.on_planner_linked();
  if (update.suspected_parts) {
    this->prompt_parts.on_suspected(*update.suspected_parts, now);
  }
  if (!update.quarantined_parts) return;
  this->log_quarantined(this->prompt_parts.on_quarantined(
                            *update.quarantined_parts, update.whole, now),
                        "planner");
}

void dispatcher::judge_parts(time_point now) {
  this->log_quarantined(this->prompt_parts.update(now), "own count");
}

void dispatcher::log_quarantined(const std::vector<std::string>& parts,
                                 const char* by) {
  for (const auto& each : parts) {
    kernel::log_event(kernel::event::prompt_part_quarantined,
                      {{"part", each}, {"by", by}});
  }
}

}  // namespace boragehill::serve
