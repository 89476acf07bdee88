// What the dispatcher does about requests that crash servers.

#include <absl/strings/str_join.h>
#include <utility>

#include "kernel/event_log.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

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
  kernel::log_event(kernel::event::striked,
                    {{"request", request.fields().attempt},
                     {"server", request.server()},
                     {"fingerprint", request.fingerprint()},
                     {"parts", absl::StrJoin(parts, ",")}});
}

void dispatcher::add_crashes(wire::router_report& report) {
  const auto now = time_point::clock::now();
  report.interruptions = this->interruptions.take_unreported(now);
  if (!std::exchange(this->tells_quarantined, false)) return;
  report.quarantined = this->crashes.quarantined_requests(now);
}

}  // namespace boragehill::serve
