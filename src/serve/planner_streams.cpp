// What the planner knows of the streams that began at all routers.

#include <algorithm>
#include <utility>
#include <vector>

#include "decide/stream_keeper_choice.hpp"
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
    each.keeper.keeps =
        keepers.size() < most_keepers || keepers.contains(each.router);
    if (each.keeper.keeps) keepers.insert(each.router);
    if (!each.keeper.keeps) each.keeper.is_told = false;
  }
}

void planner_duty::choose_agent_keepers() {
  const auto keeping = static_cast<std::size_t>(
      std::count_if(this->agents.begin(), this->agents.end(),
                    [](const auto& each) { return each.second.keeper.keeps; }));
  if (keeping >= most_keepers) return;
  std::vector<decide::stream_keeper_candidate> candidates;
  std::vector<stream_keeper*> keepers;
  for (const auto& [id, worker] : this->planner.workers()) {
    const auto found = this->agents.find(this->agent_address(worker));
    if (found == this->agents.end()) continue;
    auto& keeper = found->second.keeper;
    candidates.push_back({.failure_domain = worker.list_entry.failure_domain,
                          .keeps = keeper.keeps,
                          .may_begin = worker.report && !worker.is_draining()});
    keepers.push_back(&keeper);
  }
  for (const auto each :
       decide::choose_stream_keepers(candidates, most_keepers - keeping)) {
    keepers[each]->keeps = true;
  }
}

std::map<std::string, decide::stream_origin> planner_duty::untold_streams(
    stream_keeper& keeper, time_point now) const {
  if (!keeper.keeps) return {};
  const bool is_told = std::exchange(keeper.is_told, true);
  return is_told ? this->new_streams : this->streams.all(now);
}

}  // namespace boragehill::serve
