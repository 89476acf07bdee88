#ifndef BORAGEHILL_PLATFORM_HTTP_ANSWER_HPP
#define BORAGEHILL_PLATFORM_HTTP_ANSWER_HPP

#include <string>

namespace boragehill::platform {

/// A whole answer from one of the platform's services.
struct http_answer {
  int status = 0;
  std::string body;
  /// The version of what was read; empty if the service names none.
  std::string etag;

  bool operator==(const http_answer&) const = default;
};

}  // namespace boragehill::platform

#endif  // BORAGEHILL_PLATFORM_HTTP_ANSWER_HPP
