#ifndef BORAGEHILL_DECIDE_QUOTA_REPORT_HPP
#define BORAGEHILL_DECIDE_QUOTA_REPORT_HPP

#include <cstdint>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/quota_need.hpp"

namespace boragehill::decide {

/// What a router reports to the planner of the quotas of client accounts.
struct quota_report {
  /// When it was made, by the router's own clock.
  milliseconds made_at{0};
  /// The last round of grants that the router received; 0 if none.
  std::uint64_t last_round = 0;
  /// The largest number of routers that it was told of.
  int known_routers = 0;
  std::vector<quota_need> needs;

  bool operator==(const quota_report&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUOTA_REPORT_HPP
