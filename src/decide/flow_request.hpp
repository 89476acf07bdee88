#ifndef BORAGEHILL_DECIDE_FLOW_REQUEST_HPP
#define BORAGEHILL_DECIDE_FLOW_REQUEST_HPP

#include <cstdint>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// The facts about one accepted request that `request_flow` decides on.
struct flow_request {
  /// The entry router's incarnation.
  std::string incarnation;
  /// The request's number at that incarnation.
  std::uint64_t sequence = 0;
  /// The entry router's control endpoint.
  endpoint entry;
  std::string target;
  std::string adapter;
  std::string profile;
  std::string fingerprint;
  std::int64_t priority = 0;
  bool non_idempotent = false;
  /// True for a non-idempotent request with an idempotency key: a claim is
  /// written to the table before each dispatch.
  bool has_idempotency_key = false;
  time_point deadline;

  bool operator==(const flow_request&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_FLOW_REQUEST_HPP
