#ifndef BORAGEHILL_ROUTER_WHOLE_ANSWER_HPP
#define BORAGEHILL_ROUTER_WHOLE_ANSWER_HPP

#include <string>

namespace boragehill::router {

/// A backend server's answer, whole.
struct whole_answer {
  int status = 200;
  std::string content_type;
  std::string body;

  bool operator==(const whole_answer&) const = default;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_WHOLE_ANSWER_HPP
