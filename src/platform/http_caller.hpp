#ifndef BORAGEHILL_PLATFORM_HTTP_CALLER_HPP
#define BORAGEHILL_PLATFORM_HTTP_CALLER_HPP

#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::platform {

struct http_answer;

/// Sends single requests to one service of the platform, from any thread.
class http_caller {
 public:
  /// \param address Where the service listens.
  /// \param timeout The longest that one call may take.
  http_caller(endpoint address, milliseconds timeout);

  /// Sends a request at most once and waits for its whole answer.
  ///
  /// \param method The HTTP method.
  /// \param target The path, already percent-encoded.
  /// \param body The body; sent as JSON unless `content_type` says otherwise.
  /// \param content_type The type of the body.
  /// \param known The version held already, which the service need not send
  ///   again; empty for none.
  /// \return Any whole answer, whatever its status. Errors: platform_down
  ///   (nothing was sent), platform_answer_lost (the request went out and its
  ///   answer did not come whole).
  result<http_answer> send(const std::string& method, const std::string& target,
                           const std::string& body = {},
                           const std::string& content_type = "application/json",
                           const std::string& known = {}) const;

 private:
  endpoint address;
  milliseconds timeout;
};

}  // namespace boragehill::platform

#endif  // BORAGEHILL_PLATFORM_HTTP_CALLER_HPP
