#ifndef BORAGEHILL_DECIDE_TRIAL_PERMITS_HPP
#define BORAGEHILL_DECIDE_TRIAL_PERMITS_HPP

#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/trial_grants.hpp"

namespace boragehill::decide {

/// When a router may send a request that is suspected to crash servers: once
/// for each permit of the planner; without a planner, once in an interval.
class trial_permits {
 public:
  /// A permit that isn't used within this lapses: the planner gives another
  /// one after an interval.
  static constexpr milliseconds lifetime{trial_grants::interval / 2};

  void on_granted(const std::vector<std::string>& suspects, time_point now);
  void on_sent(const std::string& suspect, time_point now);

  /// \param planned A planner is there.
  bool may_send(const std::string& suspect, bool planned, time_point now) const;

 private:
  /// When each permit was given.
  std::map<std::string, time_point> permits;
  /// When each suspect was sent last.
  std::map<std::string, time_point> sent;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_TRIAL_PERMITS_HPP
