#ifndef BORAGEHILL_DECIDE_STREAM_KEEPER_CANDIDATE_HPP
#define BORAGEHILL_DECIDE_STREAM_KEEPER_CANDIDATE_HPP

#include <string>

namespace boragehill::decide {

/// An agent that may keep streams for a later planner.
struct stream_keeper_candidate {
  std::string failure_domain;
  /// It keeps them already.
  bool keeps = false;
  /// It reports its worker, which stays.
  bool may_begin = false;

  bool operator==(const stream_keeper_candidate&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STREAM_KEEPER_CANDIDATE_HPP
