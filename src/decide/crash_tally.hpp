#ifndef BORAGEHILL_DECIDE_CRASH_TALLY_HPP
#define BORAGEHILL_DECIDE_CRASH_TALLY_HPP

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Counts interrupted runs per request and quarantines a request at
/// `crash_limit`. A router counts its own, the planner those of all routers;
/// see `crash_tracker`. `crash_attribution` instead isolates implicated
/// requests.
class crash_tally {
 public:
  /// Crashes after which a request is quarantined. A harmless request can be in
  /// flight at two if it is retried while a failure domain goes down.
  static constexpr int limit = 3;
  /// How long crashes and quarantines count. The fault may have been fixed
  /// since then, and one crash in ten minutes is tolerated.
  static constexpr milliseconds keep{600000};

  /// \param most Maximum number of stored requests; quarantined ones are
  /// evicted
  ///   last.
  explicit crash_tally(std::size_t most) : most(most) {}

  /// Records that a run of the request was interrupted.
  /// \return True if the request is quarantined by this crash.
  bool on_strike(const std::string& fingerprint, time_point now);

  /// Quarantines a request. An existing quarantine isn't renewed, so that it
  /// expires although each new planner reports it again.
  void convict(const std::string& fingerprint, time_point now);

  /// Removes a request that is known to be harmless.
  void forget(const std::string& fingerprint);

  bool is_convicted(const std::string& fingerprint, time_point now) const;

  /// \return The fingerprints of all quarantined requests.
  std::vector<std::string> convicted(time_point now) const;

 private:
  struct entry {
    int strikes = 0;
    time_point at;
  };

  static bool is_guilty(const entry& known, time_point now);
  void make_room(time_point now);

  std::size_t most;
  std::map<std::string, entry> entries;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CRASH_TALLY_HPP
