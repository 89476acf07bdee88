// What the planner does about requests and parts of prompts that crash servers.

#include <absl/strings/str_join.h>
#include <algorithm>
#include <utility>

#include "decide/quarantine_ages.hpp"
#include "kernel/event_log.hpp"
#include "kernel/wall_clock.hpp"
#include "serve/planner_duty.hpp"

namespace boragehill::serve {

void planner_duty::note_crashes(const wire::router_report& report) {
  const auto now = time_point::clock::now();
  for (const auto& each : report.interruptions) {
    this->count_requests(each, report.router, now);
    this->crashing_parts.on_interrupted(each.server, each.age, each.parts, now);
  }
  for (const auto& each : report.quarantined) {
    this->crashing_requests.quarantine(each, now);
  }
  for (const auto& each : report.quarantined_parts) {
    this->crashing_parts.quarantine(each, now);
  }
  for (const auto& each : report.completed_requests) {
    this->crashing_requests.on_completed_before(each);
  }
  for (const auto& each : report.completed_parts) {
    this->crashing_parts.on_completed_before(each);
  }
  for (const auto& each : report.cleared_requests) {
    if (!this->crashing_requests.on_completed(each)) continue;
    kernel::log_event(kernel::event::request_cleared,
                      {{"fingerprint", each},
                       {"router", report.router},
                       {"term", this->term}});
  }
  for (const auto& each : report.cleared_parts) {
    if (!this->crashing_parts.on_completed(each)) continue;
    kernel::log_event(kernel::event::prompt_part_cleared,
                      {{"part", each}, {"router", report.router}});
  }
}

void planner_duty::count_requests(const decide::interruption& found,
                                  const std::string& router, time_point now) {
  for (const auto& each : found.requests) {
    const auto known = this->crashing_requests.servers_of(each.first);
    this->crashing_requests.on_interrupted(found.server, found.age, {each}, now,
                                           router);
    const auto servers = this->crashing_requests.servers_of(each.first);
    if (servers == known) continue;
    kernel::log_event(
        kernel::event::crash_counted,
        {{"fingerprint", each.first},
         {"server", found.server},
         {"router", router},
         {"servers", servers.size()},
         {"explained", this->crashing_requests.explained_of(each.first)},
         {"term", this->term}});
  }
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
  for (auto* each : {&this->crashing_requests, &this->crashing_parts}) {
    for (const auto& server : each->unconfirmed()) {
      if (this->has_ended(server)) each->on_server_ended(server, now);
    }
  }
  for (const auto& request : this->crashing_requests.update(now)) {
    const auto servers = this->crashing_requests.servers_of(request);
    kernel::log_event(kernel::event::convicted,
                      {{"fingerprint", request},
                       {"servers", absl::StrJoin(servers, ",")},
                       {"term", this->term}});
  }
  for (const auto& part : this->crashing_parts.update(now)) {
    const auto servers = this->crashing_parts.servers_of(part);
    kernel::log_event(kernel::event::prompt_part_quarantined,
                      {{"part", part},
                       {"servers", absl::StrJoin(servers, ",")},
                       {"term", this->term}});
  }
}

void planner_duty::restore(const fleet::quarantine_row& row) {
  const auto now = time_point::clock::now();
  const auto now_ms = kernel::wall_clock_ms();
  for (const auto& [request, age] :
       decide::quarantine_ages(row.requests, now_ms)) {
    this->crashing_requests.quarantine(request, now - age);
  }
  for (const auto& [part, age] : decide::quarantine_ages(row.parts, now_ms)) {
    this->crashing_parts.quarantine(part, now - age);
  }
  this->stored_requests = this->crashing_requests.quarantined_since(now);
  this->stored_parts = this->crashing_parts.quarantined_since(now);
}

void planner_duty::publish_quarantine(time_point now) {
  auto requests = this->crashing_requests.quarantined_since(now);
  auto parts = this->crashing_parts.quarantined_since(now);
  if (requests == this->stored_requests && parts == this->stored_parts) return;
  this->stored_requests = std::move(requests);
  this->stored_parts = std::move(parts);
  if (!this->tell_quarantine) return;
  const auto now_ms = kernel::wall_clock_ms();
  fleet::quarantine_row row;
  for (const auto& [request, since] : this->stored_requests) {
    row.requests.emplace(request, now_ms - ms_between(since, now));
  }
  for (const auto& [part, since] : this->stored_parts) {
    row.parts.emplace(part, now_ms - ms_between(since, now));
  }
  this->tell_quarantine(row);
}

planner_duty::told_suspects planner_duty::state_of(
    const decide::crash_suspects& known, time_point now) {
  return {.quarantined = known.quarantined(now),
          .suspected = known.suspected(now)};
}

bool planner_duty::add_suspects(const told_suspects& current,
                                told_suspects& told, const suspect_news& news,
                                time_point now) {
  if (told.quarantined != current.quarantined) {
    news.quarantined = current.quarantined;
  }
  if (told.suspected != current.suspected) {
    news.suspected.emplace();
    for (const auto& [suspect, since] : current.suspected) {
      news.suspected->emplace(suspect, milliseconds(ms_between(since, now)));
    }
  }
  if (!news.quarantined && !news.suspected) return false;
  told = current;
  return true;
}

}  // namespace boragehill::serve
