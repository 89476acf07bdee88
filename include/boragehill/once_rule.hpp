#ifndef BORAGEHILL_ONCE_RULE_HPP
#define BORAGEHILL_ONCE_RULE_HPP

#include <string>

namespace boragehill {

/// Calls of a plain service that may run once only.
struct once_rule {
  std::string method;
  /// A path prefix below the service, as "/orders".
  std::string path;

  bool operator==(const once_rule&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_ONCE_RULE_HPP
