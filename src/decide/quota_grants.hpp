#ifndef BORAGEHILL_DECIDE_QUOTA_GRANTS_HPP
#define BORAGEHILL_DECIDE_QUOTA_GRANTS_HPP

#include <cstdint>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/quota_grant.hpp"

namespace boragehill::decide {

/// What the planner grants one router at a time.
struct quota_grants {
  /// Increases with each round; 0 if the planner grants nothing yet.
  std::uint64_t round = 0;
  /// When the report that is granted was made, by the router's clock.
  milliseconds report_made_at{0};
  std::vector<quota_grant> grants;

  bool operator==(const quota_grants&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUOTA_GRANTS_HPP
