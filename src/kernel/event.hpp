#ifndef BORAGEHILL_KERNEL_EVENT_HPP
#define BORAGEHILL_KERNEL_EVENT_HPP

#include <span>
#include <string_view>

#include "kernel/severity.hpp"

namespace boragehill::kernel {

/// The numbered log events; docs/EVENTS.md lists each with its fields and
/// what to do. Numbers are never reused.
enum class event : int {
  // 100: process.
  process_started = 101,
  process_ready = 102,
  process_stopping = 103,
  process_stopped = 104,
  settings_changed = 105,
  duty_failed = 106,
  duty_stuck = 107,
  ring_full = 108,

  // 200: the control protocol.
  frame_rejected = 201,
  connection_refused = 202,
  peer_lost = 203,
  peer_back = 204,
  handler_failed = 205,

  // 300: platform.
  platform_outage_began = 301,
  platform_outage_ended = 302,
  write_conflict = 303,
  write_answer_lost = 304,
  entry_rejected = 305,
  fence_not_taken = 306,
  store_call_failed = 307,
  store_response_slow = 308,
  store_restored = 309,

  // 400: placement.
  grant_added = 401,
  grant_removed = 402,
  grant_unplaceable = 403,

  // 500: agent.
  agent_fenced_in = 501,
  load_ordered = 502,
  load_done = 503,
  load_failed = 504,
  unload_ordered = 505,
  unload_done = 506,
  order_unknown = 507,
  evicted = 508,
  wake_refused = 509,
  engine_restarted = 510,
  engine_lost = 511,
  worker_lost = 512,
  worker_back = 513,
  old_planner_ignored = 514,

  // 600: requests.
  request_refused = 601,
  request_answered = 602,
  outcome_unknown = 603,
  attempt_refused = 604,
  retry = 605,
  striked = 606,
  convicted = 607,
  answer_broken = 608,
  caller_hung_up = 609,
  bad_input = 610,
  silent_server_left = 611,
  retry_sent = 612,
  prompt_part_quarantined = 613,
  prompt_part_cleared = 614,
  crash_counted = 615,
  request_cleared = 616,
  quarantine_stored = 617,
  stream_taken_up = 618,
  end_judged = 619,
  suspect_sent = 620,
  answer_skipped = 621,
  rejection_read = 622,

  // 700: profiles.
  profile_published = 701,
  profile_conflict = 702,
  revision_applied = 703,
  revision_unconfirmed = 704,
  revision_confirmed = 705,

  // 800: membership.
  peer_suspected = 801,
  peer_trusted = 802,
  vm_listed = 803,
  vm_leaving = 804,
  vm_gone = 805,
  drain_started = 806,
  drain_ended = 807,
  server_listed = 808,
  server_leaving = 809,
  server_gone = 810,
  server_replaced = 811,
  server_silent = 812,
  server_heard = 813,
  server_unanswering = 814,
  server_rests = 815,
  server_rate_limited = 816,
  slots_granted = 817,
  server_interrupted = 818,
  interruption_ended = 819,
  overload_began = 820,
  overload_ended = 821,
  quota_exhausted = 822,
  quota_available = 823,
  local_quotas_began = 824,
  local_quotas_ended = 825,
  slow_callers_closed = 826,
  sent_while_stopping = 827,
  response_undelivered = 828,

  // 900: planning.
  planner_followed = 901,
  planner_lost = 902,
  planner_leads = 903,
  planner_replaced = 904,
  residency_decided = 905,
};

/// \return The event's name as it stands in docs/EVENTS.md.
std::string_view name_of(event which) noexcept;

/// \return How serious the event is.
severity severity_of(event which) noexcept;

/// \return All events, by number.
std::span<const event> all_events() noexcept;

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_EVENT_HPP
