#include <algorithm>
#include <array>
#include <string>

#include <boragehill/result_code.hpp>

namespace boragehill {

namespace {

struct code_entry {
  result_code code;
  std::string_view name;
  int http_status;
};

using rc = result_code;

constexpr std::array code_table{
    code_entry{rc::ok, "ok", 200},
    code_entry{rc::malformed_request, "malformed_request", 400},
    code_entry{rc::unknown_model, "unknown_model", 404},
    code_entry{rc::unknown_service, "unknown_service", 404},
    code_entry{rc::unknown_profile, "unknown_profile", 404},
    code_entry{rc::body_too_large, "body_too_large", 413},
    code_entry{rc::bad_deadline, "bad_deadline", 400},
    code_entry{rc::bad_header, "bad_header", 400},
    code_entry{rc::idempotency_key_reused, "idempotency_key_reused", 422},
    code_entry{rc::request_convicted, "request_convicted", 422},
    code_entry{rc::unauthorized, "unauthorized", 401},
    code_entry{rc::unknown_path, "unknown_path", 404},
    code_entry{rc::queue_full, "queue_full", 429},
    code_entry{rc::deadline_unreachable, "deadline_unreachable", 503},
    code_entry{rc::deadline_passed, "deadline_passed", 504},
    code_entry{rc::no_server, "no_server", 503},
    code_entry{rc::router_overloaded, "router_overloaded", 503},
    code_entry{rc::draining, "draining", 503},
    code_entry{rc::not_ready, "not_ready", 503},
    code_entry{rc::retry_budget_spent, "retry_budget_spent", 503},
    code_entry{rc::home_unreachable, "home_unreachable", 503},
    code_entry{rc::server_busy, "server_busy", 503},
    code_entry{rc::quota_exceeded, "quota_exceeded", 429},
    code_entry{rc::outcome_unknown, "outcome_unknown", 504},
    code_entry{rc::answer_broken, "answer_broken", 504},
    code_entry{rc::attempt_forgotten, "attempt_forgotten", 504},
    code_entry{rc::permit_ended, "permit_ended", 503},
    code_entry{rc::attempt_tombstoned, "attempt_tombstoned", 503},
    code_entry{rc::attempt_seen, "attempt_seen", 409},
    code_entry{rc::caller_gone, "caller_gone", 504},
    code_entry{rc::wrong_incarnation, "wrong_incarnation", 503},
    code_entry{rc::platform_down, "platform_down", 503},
    code_entry{rc::platform_conflict, "platform_conflict", 409},
    code_entry{rc::platform_answer_lost, "platform_answer_lost", 503},
    code_entry{rc::platform_throttled, "platform_throttled", 503},
    code_entry{rc::platform_not_found, "platform_not_found", 404},
    code_entry{rc::platform_bad_answer, "platform_bad_answer", 503},
    code_entry{rc::no_memory, "no_memory", 503},
    code_entry{rc::no_grant, "no_grant", 503},
    code_entry{rc::order_fenced, "order_fenced", 503},
    code_entry{rc::engine_down, "engine_down", 503},
    code_entry{rc::load_failed, "load_failed", 503},
    code_entry{rc::order_unknown, "order_unknown", 503},
    code_entry{rc::model_not_ready, "model_not_ready", 503},
    code_entry{rc::not_supported, "not_supported", 501},
    code_entry{rc::engine_crashed, "engine_crashed", 504},
    code_entry{rc::engine_refused, "engine_refused", 503},
    code_entry{rc::frame_too_large, "frame_too_large", 413},
    code_entry{rc::frame_garbled, "frame_garbled", 400},
    code_entry{rc::peer_unreachable, "peer_unreachable", 503},
    code_entry{rc::peer_timeout, "peer_timeout", 504},
    code_entry{rc::peer_refused, "peer_refused", 503},
    code_entry{rc::unknown_method, "unknown_method", 404},
    code_entry{rc::profile_invalid, "profile_invalid", 422},
    code_entry{rc::profile_conflict, "profile_conflict", 409},
    code_entry{rc::profile_unconfirmed, "profile_unconfirmed", 504},
    code_entry{rc::settings_unreadable, "settings_unreadable", 500},
    code_entry{rc::settings_unknown_key, "settings_unknown_key", 500},
    code_entry{rc::settings_wrong_type, "settings_wrong_type", 500},
    code_entry{rc::settings_out_of_range, "settings_out_of_range", 500},
    code_entry{rc::settings_missing_key, "settings_missing_key", 500},
    code_entry{rc::unknown_plugin, "unknown_plugin", 500},
    code_entry{rc::address_in_use, "address_in_use", 500},
};

constexpr auto codes = [] {
  std::array<result_code, code_table.size()> all{};
  std::transform(code_table.begin(), code_table.end(), all.begin(),
                 [](const code_entry& entry) { return entry.code; });
  return all;
}();

const code_entry* find_entry(result_code code) noexcept {
  const auto* found =
      std::find_if(code_table.begin(), code_table.end(),
                   [code](const code_entry& e) { return e.code == code; });
  return found == code_table.end() ? nullptr : found;
}

class result_category_type final : public std::error_category {
 public:
  const char* name() const noexcept override { return "boragehill"; }

  std::string message(int value) const override {
    return std::string(name_of(static_cast<result_code>(value)));
  }
};

}  // namespace

std::string_view name_of(result_code code) noexcept {
  const code_entry* entry = find_entry(code);
  return entry == nullptr ? "unlisted" : entry->name;
}

int http_status_of(result_code code) noexcept {
  const code_entry* entry = find_entry(code);
  return entry == nullptr ? 500 : entry->http_status;
}

std::span<const result_code> all_result_codes() noexcept {
  return codes;
}

const std::error_category& result_category() noexcept {
  static const result_category_type category;
  return category;
}

std::error_code make_error_code(result_code code) noexcept {
  return {static_cast<int>(code), result_category()};
}

result_code code_of(const std::error_code& error) noexcept {
  if (error.category() != result_category()) return result_code::peer_refused;
  return static_cast<result_code>(error.value());
}

}  // namespace boragehill
