#ifndef BORAGEHILL_BACKEND_REQUEST_HPP
#define BORAGEHILL_BACKEND_REQUEST_HPP

#include <cstdint>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill {

/// A request as an agent hands it to the engine or plain service beside it.
struct backend_request {
  /// The attempt, for the backend server's own log and for cancelling.
  std::string attempt;
  std::string method;
  /// Path and query as the caller sent them.
  std::string target;
  std::string content_type;
  std::string body;
  std::string traceparent;
  /// The caller's key of a non-idempotent request; empty if there is none.
  std::string idempotency_key;
  /// Higher goes first where the backend server honours priorities.
  std::int64_t priority = 0;
  /// The time left to the caller's deadline.
  milliseconds time_left{0};

  bool operator==(const backend_request&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_BACKEND_REQUEST_HPP
