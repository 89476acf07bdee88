#ifndef BORAGEHILL_FLEET_ROUTE_HPP
#define BORAGEHILL_FLEET_ROUTE_HPP

#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "fleet/repeat_rule.hpp"
#include "fleet/route_target.hpp"

namespace boragehill::fleet {

/// One route of the catalog: which requests it takes and how they are served.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  repeat_rule rule = repeat_rule::once;
  /// The longest that a request may be kept waiting for its final answer.
  milliseconds timeout{0};
  /// The time within which an answer is worth most.
  milliseconds latency_objective{0};
  /// The longest time between two events with which a stream is on time.
  milliseconds gap_objective{0};
  /// 0 is the most urgent.
  int priority = 0;
  /// The most workers that may run one attempt of a caller.
  int attempts = 1;
  /// An event stream that may go on at another worker after a break.
  bool resumable = false;
  /// Takes requests without the key of a client account.
  bool is_public = false;
  std::vector<route_target> targets;

  bool operator==(const route&) const = default;

  /// \return True if its responses are event streams that may be resumed.
  bool is_resumable_stream() const {
    return this->rule == repeat_rule::stream && this->resumable;
  }
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_ROUTE_HPP
