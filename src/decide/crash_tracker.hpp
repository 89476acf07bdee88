#ifndef BORAGEHILL_DECIDE_CRASH_TRACKER_HPP
#define BORAGEHILL_DECIDE_CRASH_TRACKER_HPP

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/crash_counter.hpp"

namespace boragehill::decide {

/// One router's view of requests that crash backend servers.
///
/// Without it, a caller that keeps retrying such a request through any router
/// takes down one server after the other. Each server that interrupted runs of
/// it counts as a crash; the planner adds up the crashes at all routers and
/// reports which requests to refuse.
///
/// A harmless request is counted too if it was in flight at a crash or if its
/// connection was cut. A recent complete response to the same request clears it
/// at this router, whatever the planner reports: many callers send identical
/// requests, and refusing all of them after three cut connections would be
/// worse than a crash.
class crash_tracker {
 public:
  /// Completed requests stored; at ten per second and router, about 200 s.
  static constexpr std::size_t max_completed = 2048;
  /// Implicated or quarantined requests stored.
  static constexpr std::size_t max_implicated = 256;

  /// Records a run that a server interrupted before the end of its response.
  /// \return False if the request is known to be harmless, so that this is no
  ///     crash.
  bool on_interrupted(const std::string& fingerprint, const std::string& server,
                      time_point now);

  /// Records a run with a complete response.
  /// \return True if this clears the request of crashes counted here.
  bool on_completed(const std::string& fingerprint);

  /// Records that the planner quarantined a request because of the crashes at
  /// all routers.
  void on_quarantined(const std::string& fingerprint, time_point now);

  /// \return True if the request must be refused.
  bool is_quarantined(const std::string& fingerprint, time_point now) const;

  /// \return The fingerprints of all quarantined requests, for a new planner.
  std::vector<std::string> quarantined_requests(time_point now) const {
    return this->crash_counts.quarantined_requests(now);
  }

 private:
  crash_counter crash_counts{max_implicated};
  std::unordered_set<std::string> completed;
  std::deque<std::string> completed_by_age;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CRASH_TRACKER_HPP
