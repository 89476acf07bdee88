#ifndef BORAGEHILL_HTTP_HEADER_HPP
#define BORAGEHILL_HTTP_HEADER_HPP

#include <string>

namespace boragehill::http {

/// One header line of a message.
struct header {
  std::string name;
  std::string value;

  bool operator==(const header&) const = default;
};

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_HEADER_HPP
