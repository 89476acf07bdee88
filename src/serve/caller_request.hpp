#ifndef BORAGEHILL_SERVE_CALLER_REQUEST_HPP
#define BORAGEHILL_SERVE_CALLER_REQUEST_HPP

#include <string>

#include <boragehill/time_point.hpp>

#include "http/message_head.hpp"

namespace boragehill::serve {

/// A request as it was read from a caller, whole.
struct caller_request {
  http::message_head head;
  std::string body;
  /// When its last byte was read.
  time_point received;
  /// The caller's address.
  std::string caller;

  bool operator==(const caller_request&) const = default;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_CALLER_REQUEST_HPP
