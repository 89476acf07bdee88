#ifndef BORAGEHILL_DECIDE_TRIAL_GRANTS_HPP
#define BORAGEHILL_DECIDE_TRIAL_GRANTS_HPP

#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Decides which router sends a request that is suspected to crash servers:
/// one copy at a time over all routers, so that copies that wait together end
/// no more servers than it takes to know the request.
class trial_grants {
 public:
  /// Between two copies of a request. A crash is known, and the request
  /// quarantined, within this.
  static constexpr milliseconds interval{1000};

  /// \param wanted Suspects that a router has copies of.
  /// \return Those of which it may send one copy.
  std::vector<std::string> grant(const std::vector<std::string>& wanted,
                                 time_point now);

 private:
  /// By suspect.
  std::map<std::string, time_point> granted_at;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_TRIAL_GRANTS_HPP
