#ifndef BORAGEHILL_DECIDE_HELD_RESPONSE_HPP
#define BORAGEHILL_DECIDE_HELD_RESPONSE_HPP

#include <cstddef>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A response of which bytes are held for a caller.
struct held_response {
  std::size_t bytes = 0;
  /// When the caller last took any, or when the first were held.
  time_point last_taken;

  bool operator==(const held_response&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HELD_RESPONSE_HPP
