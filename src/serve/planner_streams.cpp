// What the planner knows of the streams that began at all routers.

#include <utility>

#include "kernel/event_log.hpp"
#include "serve/planner_duty.hpp"

namespace boragehill::serve {

namespace {

/// All routers have told a new planner of their streams within this.
constexpr milliseconds report_time{1000};
constexpr milliseconds drop_interval{1000};
/// Routers that keep all streams beside the planner, and as many agents; one
/// may be lost with it.
constexpr std::size_t most_keepers = 2;

}  // namespace

void planner_duty::note_streams(const wire::router_report& report,
                                router_link& router) {
  const auto now = time_point::clock::now();
  if (now >= this->streams_dropped_at + drop_interval) {
    this->streams_dropped_at = now;
    this->streams.drop_expired(now);
  }
  this->record_streams(report.streams, now);
  router.wanted_streams.insert(report.wanted_streams.begin(),
                               report.wanted_streams.end());
}

void planner_duty::record_streams(
    const std::map<std::string, decide::stream_origin>& streams,
    time_point now) {
  std::size_t left_out = 0;
  for (const auto& [stream, origin] : streams) {
    if (this->streams.record(stream, origin, now)) {
      this->new_streams[stream] = origin;
    } else {
      ++left_out;
    }
  }
  if (left_out > 0) {
    kernel::log_event(
        kernel::event::ring_full,
        {{"ring", "streams"}, {"capacity", decide::stream_origins::capacity}});
  }
}

void planner_duty::answer_streams(router_link& router,
                                  wire::view_update& update,
                                  time_point now) const {
  const bool knows_all = now >= this->leads_since + report_time;
  std::erase_if(router.wanted_streams, [&](const std::string& stream) {
    const auto origin = this->streams.find(stream, now);
    if (origin) update.streams[stream] = *origin;
    if (!origin && knows_all) update.unknown_streams.push_back(stream);
    return origin || knows_all;
  });
}

void planner_duty::choose_keepers() {
  std::set<std::string> keepers;
  for (auto& [number, each] : this->routers) {
    if (each.router.empty() || each.router == this->settings.id) continue;
    // A router may have two links for a moment; both are told.
    each.keeps_streams =
        keepers.size() < most_keepers || keepers.contains(each.router);
    if (each.keeps_streams) keepers.insert(each.router);
    if (!each.keeps_streams) each.knows_streams = false;
  }
}

void planner_duty::choose_agent_keepers() {
  std::set<std::string> domains;
  std::size_t keepers = 0;
  for (const auto& [address, each] : this->agents) {
    if (each.keeps_streams) ++keepers;
  }
  const auto agent_of = [this](const decide::planned_worker& worker) {
    return this->agents.find(
        {worker.list_entry.address.address, this->settings.link_port});
  };
  for (const auto& [id, worker] : this->planner.workers()) {
    const auto found = agent_of(worker);
    if (found == this->agents.end() || !found->second.keeps_streams) continue;
    domains.insert(worker.list_entry.failure_domain);
  }
  for (const bool elsewhere : {true, false}) {
    for (const auto& [id, worker] : this->planner.workers()) {
      if (keepers >= most_keepers) return;
      const auto found = agent_of(worker);
      const bool may_keep = found != this->agents.end() && worker.report &&
                            !worker.is_draining() &&
                            !found->second.keeps_streams;
      const auto& domain = worker.list_entry.failure_domain;
      if (!may_keep || (elsewhere && domains.contains(domain))) continue;
      found->second.keeps_streams = true;
      domains.insert(domain);
      ++keepers;
    }
  }
}

std::map<std::string, decide::stream_origin> planner_duty::untold_streams(
    agent_link& agent, time_point now) const {
  if (!agent.keeps_streams) return {};
  const bool is_told = std::exchange(agent.knows_streams, true);
  return is_told ? this->new_streams : this->streams.all(now);
}

void planner_duty::share_streams(router_link& router, wire::view_update& update,
                                 time_point now) const {
  if (!router.keeps_streams) return;
  const bool is_told = std::exchange(router.knows_streams, true);
  for (const auto& [stream, origin] :
       is_told ? this->new_streams : this->streams.all(now)) {
    update.streams[stream] = origin;
  }
}

}  // namespace boragehill::serve
