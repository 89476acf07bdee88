#ifndef BORAGEHILL_GRANT_HPP
#define BORAGEHILL_GRANT_HPP

#include <cstdint>
#include <string>

namespace boragehill {

/// What a grant allows a backend server to hold.
struct grant {
  std::string model;
  std::uint64_t bytes = 0;
  /// Numbers the grants given on one server; none is used twice there.
  std::uint64_t serial = 0;

  bool operator==(const grant&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_GRANT_HPP
