#ifndef BORAGEHILL_DECIDE_WAITING_CANDIDATE_HPP
#define BORAGEHILL_DECIDE_WAITING_CANDIDATE_HPP

#include <string>

#include <boragehill/time_point.hpp>

#include "decide/request_rank.hpp"

namespace boragehill::decide {

/// A request that waits for a server, as input of `waiting_order`.
struct waiting_candidate {
  /// The client account; empty if none sent it.
  std::string account;
  request_rank rank;
  time_point received;
  /// Time from its arrival to the first event of its response that callers
  /// accept; 0 if they don't care.
  milliseconds objective{0};
  /// When its response is due at the latest.
  time_point limit;

  bool operator==(const waiting_candidate&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WAITING_CANDIDATE_HPP
