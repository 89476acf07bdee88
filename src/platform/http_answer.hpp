#ifndef BORAGEHILL_PLATFORM_HTTP_ANSWER_HPP
#define BORAGEHILL_PLATFORM_HTTP_ANSWER_HPP

#include <string>

namespace boragehill::platform {

/// A whole answer from one of the platform's services.
struct http_answer {
  int status = 0;
  std::string body;

  bool operator==(const http_answer&) const = default;
};

}  // namespace boragehill::platform

#endif  // BORAGEHILL_PLATFORM_HTTP_ANSWER_HPP
