// What the planner does about requests and parts of prompts that crash servers.

#include <absl/strings/str_join.h>
#include <algorithm>

#include "kernel/event_log.hpp"
#include "serve/planner_duty.hpp"

namespace boragehill::serve {

void planner_duty::note_crashes(const wire::router_report& report) {
  const auto now = time_point::clock::now();
  for (const auto& each : report.interruptions) {
    for (const auto& request : each.requests) {
      this->count_crash(request, each.server, report.router, now);
    }
    this->part_crashes.on_interrupted(each, now);
  }
  for (const auto& each : report.quarantined) {
    this->crashes.quarantine(each, now);
  }
  for (const auto& each : report.quarantined_parts) {
    this->part_crashes.quarantine(each, now);
  }
  for (const auto& each : report.completed_parts) {
    this->part_crashes.on_completed_before(each);
  }
  for (const auto& each : report.cleared_parts) {
    if (!this->part_crashes.on_completed(each)) continue;
    kernel::log_event(kernel::event::prompt_part_cleared,
                      {{"part", each}, {"router", report.router}});
  }
  if (report.interruptions.empty() && report.quarantined.empty()) return;
  this->convicted = this->crashes.quarantined_requests(now);
}

void planner_duty::count_crash(const std::string& fingerprint,
                               const std::string& server,
                               const std::string& router, time_point now) {
  const auto known = this->crashes.crashes_of(fingerprint);
  const bool quarantined = this->crashes.on_crash(fingerprint, server, now);
  const auto servers = this->crashes.crashes_of(fingerprint);
  if (servers == known) return;
  kernel::log_event(kernel::event::crash_counted, {{"fingerprint", fingerprint},
                                                   {"server", server},
                                                   {"router", router},
                                                   {"servers", servers},
                                                   {"term", this->term}});
  if (!quarantined) return;
  kernel::log_event(kernel::event::convicted,
                    {{"fingerprint", fingerprint}, {"term", this->term}});
}

bool planner_duty::has_ended(const std::string& server) const {
  if (this->lost_workers.contains(server)) return true;
  const auto& listed = this->servers.servers;
  if (!listed.empty() && !listed.contains(server)) return true;
  return std::any_of(
      this->demands.begin(), this->demands.end(), [&](const auto& each) {
        const auto& lost = each.second.unreachable_servers;
        return std::find(lost.begin(), lost.end(), server) != lost.end();
      });
}

void planner_duty::judge_crashes(time_point now) {
  for (const auto& server : this->part_crashes.unconfirmed()) {
    if (!this->has_ended(server)) continue;
    this->part_crashes.on_server_ended(server, now);
  }
  for (const auto& part : this->part_crashes.update(now)) {
    kernel::log_event(
        kernel::event::prompt_part_quarantined,
        {{"part", part},
         {"servers", absl::StrJoin(this->part_crashes.servers_of(part), ",")},
         {"term", this->term}});
  }
}

bool planner_duty::add_parts(router_link& router, wire::view_update& update,
                             time_point now) const {
  auto quarantined = this->part_crashes.quarantined(now);
  if (router.quarantined_parts != quarantined) {
    update.quarantined_parts = quarantined;
    router.quarantined_parts = std::move(quarantined);
  }
  auto suspected = this->part_crashes.suspected(now);
  if (router.suspected_parts != suspected) {
    update.suspected_parts.emplace();
    for (const auto& [part, since] : suspected) {
      update.suspected_parts->emplace(part,
                                      milliseconds(ms_between(since, now)));
    }
    router.suspected_parts = std::move(suspected);
  }
  return update.quarantined_parts || update.suspected_parts;
}

}  // namespace boragehill::serve
