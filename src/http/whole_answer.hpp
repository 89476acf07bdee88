#ifndef BORAGEHILL_HTTP_WHOLE_ANSWER_HPP
#define BORAGEHILL_HTTP_WHOLE_ANSWER_HPP

#include <string>

#include "http/message_head.hpp"

namespace boragehill::http {

/// An answer with its whole body, of a call to an interface.
struct whole_answer {
  message_head head;
  std::string body;

  bool operator==(const whole_answer&) const = default;
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_WHOLE_ANSWER_HPP
