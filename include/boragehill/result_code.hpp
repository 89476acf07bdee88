#ifndef BORAGEHILL_RESULT_CODE_HPP
#define BORAGEHILL_RESULT_CODE_HPP

#include <span>
#include <string_view>
#include <system_error>

namespace boragehill {

/// The numbered results that callers, operators and logs see; docs/ERRORS.md
/// lists each with its HTTP status and what to do. Numbers are never reused.
enum class result_code : int {
  ok = 0,

  // 1000: the request itself.
  malformed_request = 1001,
  unknown_model = 1002,
  unknown_service = 1003,
  unknown_profile = 1004,
  body_too_large = 1005,
  bad_deadline = 1006,
  bad_header = 1007,
  idempotency_key_reused = 1008,
  request_convicted = 1009,
  unauthorized = 1010,
  unknown_path = 1011,

  // 2000: capacity and time; the request was not run.
  queue_full = 2001,
  deadline_unreachable = 2002,
  deadline_passed = 2003,
  no_server = 2004,
  router_overloaded = 2005,
  draining = 2006,
  not_ready = 2007,
  retry_budget_spent = 2008,
  home_unreachable = 2009,
  server_busy = 2010,
  quota_exceeded = 2011,

  // 3000: attempts.
  outcome_unknown = 3001,
  answer_broken = 3002,
  attempt_forgotten = 3003,
  permit_ended = 3004,
  attempt_tombstoned = 3005,
  attempt_seen = 3006,
  caller_gone = 3007,
  wrong_incarnation = 3008,

  // 4000: the platform's services.
  platform_down = 4001,
  platform_conflict = 4002,
  platform_answer_lost = 4003,
  platform_throttled = 4004,
  platform_not_found = 4005,
  platform_bad_answer = 4006,

  // 5000: backend servers and their engines.
  no_memory = 5001,
  no_grant = 5002,
  order_fenced = 5003,
  engine_down = 5004,
  load_failed = 5005,
  order_unknown = 5006,
  model_not_ready = 5007,
  not_supported = 5008,
  engine_crashed = 5009,
  engine_refused = 5010,

  // 6000: the control protocol.
  frame_too_large = 6001,
  frame_garbled = 6002,
  peer_unreachable = 6003,
  peer_timeout = 6004,
  peer_refused = 6005,
  unknown_method = 6006,

  // 7000: profiles.
  profile_invalid = 7001,
  profile_conflict = 7002,
  profile_unconfirmed = 7003,

  // 8000: settings and start.
  settings_unreadable = 8001,
  settings_unknown_key = 8002,
  settings_wrong_type = 8003,
  settings_out_of_range = 8004,
  settings_missing_key = 8005,
  unknown_plugin = 8006,
  address_in_use = 8007,
};

/// Returns the name of a code as it stands in docs/ERRORS.md.
std::string_view name_of(result_code code) noexcept;

/// Returns the HTTP status that a caller gets with a code.
int http_status_of(result_code code) noexcept;

/// Returns all codes, by number.
std::span<const result_code> all_result_codes() noexcept;

/// Returns the category of all `result_code` values.
const std::error_category& result_category() noexcept;

/// Makes a `std::error_code` of a code; found by argument-dependent lookup.
std::error_code make_error_code(result_code code) noexcept;

/// Returns the code inside an error; `peer_refused` for other categories.
result_code code_of(const std::error_code& error) noexcept;

}  // namespace boragehill

template <>
struct std::is_error_code_enum<boragehill::result_code> : std::true_type {};

#endif  // BORAGEHILL_RESULT_CODE_HPP
