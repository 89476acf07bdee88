#ifndef BORAGEHILL_PLATFORM_HTTP_STATUS_HPP
#define BORAGEHILL_PLATFORM_HTTP_STATUS_HPP

#include <boragehill/result_code.hpp>

namespace boragehill::platform {

/// The statuses that the platform's services answer with.
enum http_status : int {
  status_ok = 200,
  status_no_content = 204,
  status_not_modified = 304,
  status_not_found = 404,
  status_conflict = 409,
  status_throttled = 429,
  status_unavailable = 503,
};

/// Returns the error of a read that was answered with a status.
///
/// \param status Any status but those that mean success.
constexpr result_code read_error_of(int status) noexcept {
  switch (status) {
    case status_throttled:
      return result_code::platform_throttled;
    case status_unavailable:
      return result_code::platform_down;
    default:
      return result_code::platform_bad_answer;
  }
}

/// Returns the error of a write that was answered with a status.
///
/// An unforeseen status says nothing about whether the write took effect, so
/// it counts as a lost answer, which makes the caller read back.
///
/// \param status Any status but those that mean success.
constexpr result_code write_error_of(int status) noexcept {
  switch (status) {
    case status_conflict:
      return result_code::platform_conflict;
    case status_throttled:
      return result_code::platform_throttled;
    case status_unavailable:
      return result_code::platform_down;
    default:
      return result_code::platform_answer_lost;
  }
}

}  // namespace boragehill::platform

#endif  // BORAGEHILL_PLATFORM_HTTP_STATUS_HPP
