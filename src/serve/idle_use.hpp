#ifndef BORAGEHILL_SERVE_IDLE_USE_HPP
#define BORAGEHILL_SERVE_IDLE_USE_HPP

namespace boragehill::serve {

/// Which idle connections may carry a request.
enum class idle_use {
  any,
  /// Those that were used a moment ago: a close that crosses the request would
  /// leave open whether it ran.
  young,
  /// None: an answer to an earlier request on the connection couldn't be told
  /// from the answer to this one.
  none,
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_IDLE_USE_HPP
