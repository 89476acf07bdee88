#include "kernel/event.hpp"

#include <algorithm>
#include <array>

namespace boragehill::kernel {

namespace {

struct row {
  event which;
  std::string_view name;
  severity level;
};

constexpr std::array rows{
    row{event::process_started, "process_started", severity::info},
    row{event::process_ready, "process_ready", severity::info},
    row{event::process_stopping, "process_stopping", severity::info},
    row{event::process_stopped, "process_stopped", severity::info},
    row{event::settings_changed, "settings_changed", severity::info},
    row{event::duty_failed, "duty_failed", severity::error},
    row{event::duty_stuck, "duty_stuck", severity::error},
    row{event::ring_full, "ring_full", severity::warning},
    row{event::frame_rejected, "frame_rejected", severity::warning},
    row{event::connection_refused, "connection_refused", severity::warning},
    row{event::peer_lost, "peer_lost", severity::warning},
    row{event::peer_back, "peer_back", severity::info},
    row{event::handler_failed, "handler_failed", severity::error},
    row{event::platform_outage_began, "platform_outage_began",
        severity::warning},
    row{event::platform_outage_ended, "platform_outage_ended", severity::info},
    row{event::write_conflict, "write_conflict", severity::info},
    row{event::write_answer_lost, "write_answer_lost", severity::warning},
    row{event::entry_rejected, "entry_rejected", severity::error},
    row{event::fence_not_taken, "fence_not_taken", severity::warning},
    row{event::store_call_failed, "store_call_failed", severity::warning},
    row{event::store_response_slow, "store_response_slow", severity::info},
    row{event::store_restored, "store_restored", severity::warning},
    row{event::grant_added, "grant_added", severity::info},
    row{event::grant_removed, "grant_removed", severity::info},
    row{event::grant_unplaceable, "grant_unplaceable", severity::warning},
    row{event::agent_fenced_in, "agent_fenced_in", severity::info},
    row{event::load_ordered, "load_ordered", severity::info},
    row{event::load_done, "load_done", severity::info},
    row{event::load_failed, "load_failed", severity::warning},
    row{event::unload_ordered, "unload_ordered", severity::info},
    row{event::unload_done, "unload_done", severity::info},
    row{event::order_unknown, "order_unknown", severity::warning},
    row{event::evicted, "evicted", severity::info},
    row{event::wake_refused, "wake_refused", severity::warning},
    row{event::engine_restarted, "engine_restarted", severity::warning},
    row{event::engine_lost, "engine_lost", severity::error},
    row{event::worker_lost, "worker_lost", severity::error},
    row{event::worker_back, "worker_back", severity::info},
    row{event::old_planner_ignored, "old_planner_ignored", severity::warning},
    row{event::request_refused, "request_refused", severity::info},
    row{event::request_answered, "request_answered", severity::info},
    row{event::outcome_unknown, "outcome_unknown", severity::warning},
    row{event::attempt_refused, "attempt_refused", severity::warning},
    row{event::retry, "retry", severity::info},
    row{event::striked, "striked", severity::warning},
    row{event::convicted, "convicted", severity::warning},
    row{event::answer_broken, "answer_broken", severity::error},
    row{event::caller_hung_up, "caller_hung_up", severity::info},
    row{event::bad_input, "bad_input", severity::info},
    row{event::silent_server_left, "silent_server_left", severity::warning},
    row{event::prompt_part_quarantined, "prompt_part_quarantined",
        severity::warning},
    row{event::prompt_part_cleared, "prompt_part_cleared", severity::warning},
    row{event::crash_counted, "crash_counted", severity::warning},
    row{event::request_cleared, "request_cleared", severity::warning},
    row{event::quarantine_stored, "quarantine_stored", severity::info},
    row{event::stream_taken_up, "stream_taken_up", severity::info},
    row{event::end_judged, "end_judged", severity::info},
    row{event::suspect_sent, "suspect_sent", severity::info},
    row{event::answer_skipped, "answer_skipped", severity::warning},
    row{event::rejection_read, "rejection_read", severity::info},
    row{event::retry_sent, "retry_sent", severity::info},
    row{event::profile_published, "profile_published", severity::info},
    row{event::profile_conflict, "profile_conflict", severity::warning},
    row{event::revision_applied, "revision_applied", severity::info},
    row{event::revision_unconfirmed, "revision_unconfirmed", severity::warning},
    row{event::revision_confirmed, "revision_confirmed", severity::info},
    row{event::peer_suspected, "peer_suspected", severity::warning},
    row{event::peer_trusted, "peer_trusted", severity::info},
    row{event::vm_listed, "vm_listed", severity::info},
    row{event::vm_leaving, "vm_leaving", severity::info},
    row{event::vm_gone, "vm_gone", severity::warning},
    row{event::drain_started, "drain_started", severity::info},
    row{event::drain_ended, "drain_ended", severity::info},
    row{event::server_listed, "server_listed", severity::info},
    row{event::server_leaving, "server_leaving", severity::info},
    row{event::server_gone, "server_gone", severity::warning},
    row{event::server_replaced, "server_replaced", severity::warning},
    row{event::server_silent, "server_silent", severity::warning},
    row{event::server_heard, "server_heard", severity::info},
    row{event::server_unanswering, "server_unanswering", severity::info},
    row{event::server_rests, "server_rests", severity::info},
    row{event::server_rate_limited, "server_rate_limited", severity::info},
    row{event::slots_granted, "slots_granted", severity::info},
    row{event::server_interrupted, "server_interrupted", severity::info},
    row{event::interruption_ended, "interruption_ended", severity::info},
    row{event::overload_began, "overload_began", severity::warning},
    row{event::overload_ended, "overload_ended", severity::info},
    row{event::quota_exhausted, "quota_exhausted", severity::info},
    row{event::quota_available, "quota_available", severity::info},
    row{event::local_quotas_began, "local_quotas_began", severity::warning},
    row{event::local_quotas_ended, "local_quotas_ended", severity::info},
    row{event::slow_callers_closed, "slow_callers_closed", severity::warning},
    row{event::sent_while_stopping, "sent_while_stopping", severity::info},
    row{event::response_undelivered, "response_undelivered", severity::warning},
    row{event::planner_followed, "planner_followed", severity::info},
    row{event::planner_lost, "planner_lost", severity::warning},
    row{event::planner_leads, "planner_leads", severity::info},
    row{event::planner_replaced, "planner_replaced", severity::warning},
    row{event::residency_decided, "residency_decided", severity::info},
};

constexpr auto events = [] {
  std::array<event, rows.size()> all{};
  std::transform(rows.begin(), rows.end(), all.begin(),
                 [](const row& each) { return each.which; });
  return all;
}();

const row* find(event which) noexcept {
  const auto* found =
      std::find_if(rows.begin(), rows.end(),
                   [which](const row& each) { return each.which == which; });
  return found == rows.end() ? nullptr : found;
}

}  // namespace

std::string_view name_of(event which) noexcept {
  const row* found = find(which);
  return found ? found->name : "unknown_event";
}

severity severity_of(event which) noexcept {
  const row* found = find(which);
  return found ? found->level : severity::error;
}

std::span<const event> all_events() noexcept {
  return events;
}

}  // namespace boragehill::kernel
