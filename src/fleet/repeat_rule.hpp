#ifndef BORAGEHILL_FLEET_REPEAT_RULE_HPP
#define BORAGEHILL_FLEET_REPEAT_RULE_HPP

namespace boragehill::fleet {

/// What may be done with a request after it was sent once.
enum class repeat_rule {
  /// May run any number of times.
  idempotent,
  /// Runs at most once for each attempt of the caller.
  once,
  /// An event stream that runs at most once, unless its route may be resumed.
  stream,
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_REPEAT_RULE_HPP
