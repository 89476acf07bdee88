#ifndef BORAGEHILL_DECIDE_RATE_LIMIT_REPORT_HPP
#define BORAGEHILL_DECIDE_RATE_LIMIT_REPORT_HPP

#include <vector>

#include "decide/rate_limit_announcement.hpp"
#include "decide/rate_limit_tokens.hpp"

namespace boragehill::decide {

/// What a router reports to the planner of rate-limited backend servers.
struct rate_limit_report {
  /// What servers said since the last report.
  std::vector<rate_limit_announcement> announcements;
  /// Tokens for requests that wait now.
  std::vector<rate_limit_tokens> needed;

  bool operator==(const rate_limit_report&) const = default;

  bool empty() const {
    return this->announcements.empty() && this->needed.empty();
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RATE_LIMIT_REPORT_HPP
