#ifndef BORAGEHILL_ROUTER_REQUEST_READER_HPP
#define BORAGEHILL_ROUTER_REQUEST_READER_HPP

#include <cstddef>
#include <variant>

#include <boragehill/refusal.hpp>
#include <boragehill/time_point.hpp>

#include "router/accepted_request.hpp"

namespace httplib {
struct Request;
}

namespace boragehill::decide {
class catalog;
}

namespace boragehill::router {

/// Reads callers' HTTP requests and refuses, by number, what can't be served:
/// unknown services and models, bad deadlines, duplicate or over-long headers,
/// bodies that are not JSON.
class request_reader {
 public:
  /// \param default_deadline Used where the caller names none; the profile's
  ///   longest wait still bounds it.
  explicit request_reader(milliseconds default_deadline)
      : default_deadline(default_deadline) {}

  /// Reads a call of `/v1/completions` or `/v1/chat/completions`.
  ///
  /// \param raw The request.
  /// \param published The configuration in force.
  /// \param now The time it arrived.
  /// \return The request, or the refusal to send; it was not run.
  std::variant<accepted_request, refusal> read_model_call(
      const httplib::Request& raw, const decide::catalog& published,
      time_point now) const;

  /// Reads a call of `/services/<pool>/<path>`.
  std::variant<accepted_request, refusal> read_service_call(
      const httplib::Request& raw, const decide::catalog& published,
      time_point now) const;

 private:
  milliseconds default_deadline;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_REQUEST_READER_HPP
