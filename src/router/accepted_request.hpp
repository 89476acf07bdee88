#ifndef BORAGEHILL_ROUTER_ACCEPTED_REQUEST_HPP
#define BORAGEHILL_ROUTER_ACCEPTED_REQUEST_HPP

#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

#include "kernel/trace_context.hpp"

namespace boragehill::router {

/// A caller's request after it was read and checked.
struct accepted_request {
  std::string service;
  std::string profile;
  /// "model:<base>" or "pool:<name>".
  std::string target;
  std::string adapter;
  std::string method;
  /// Path and query for the backend server.
  std::string path;
  std::string content_type;
  std::string body;
  /// The caller wants the answer piece by piece as it is made.
  bool streamed = false;
  bool non_idempotent = false;
  /// Empty if the caller gave none.
  std::string idempotency_key;
  /// Hash of service, target, path and body, in hex.
  std::string fingerprint;
  std::int64_t priority = 0;
  time_point accepted_at;
  time_point deadline;
  std::optional<kernel::trace_context> trace;

  bool operator==(const accepted_request&) const = default;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_ACCEPTED_REQUEST_HPP
