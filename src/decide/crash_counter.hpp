#ifndef BORAGEHILL_DECIDE_CRASH_COUNTER_HPP
#define BORAGEHILL_DECIDE_CRASH_COUNTER_HPP

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Counts the servers that interrupted runs of a request, each once however
/// many runs it interrupted, and quarantines a request that reaches
/// `crash_limit`. A router counts what it saw itself, the planner what all
/// routers saw, see `crash_tracker`. Unlike `crash_attribution`, it doesn't
/// know which requests were in flight together.
class crash_counter {
 public:
  /// Crashes after which a request is quarantined. A harmless request can be in
  /// flight at two if it is retried while a failure domain goes down.
  static constexpr std::size_t crash_limit = 3;
  /// How long crashes and quarantines count. The fault may have been fixed
  /// since then, and one crash in ten minutes is tolerated.
  static constexpr milliseconds retention{600000};

  /// \param max_requests Maximum number of stored requests; quarantined ones
  ///   are evicted last.
  explicit crash_counter(std::size_t max_requests)
      : max_requests(max_requests) {}

  /// Records that a server interrupted a run of the request.
  /// \return True if the request is quarantined by this crash.
  bool on_crash(const std::string& fingerprint, const std::string& server,
                time_point now);

  /// Quarantines a request. An existing quarantine isn't renewed, so that it
  /// expires although each new planner reports it again.
  void quarantine(const std::string& fingerprint, time_point now);

  /// Removes a request that is known to be harmless.
  /// \return True if crashes were counted for it.
  bool clear(const std::string& fingerprint);

  bool is_quarantined(const std::string& fingerprint, time_point now) const;

  /// \return How many servers interrupted a run of the request; at most
  ///     `crash_limit`.
  std::size_t crashes_of(const std::string& fingerprint) const;

  /// \return The fingerprints of all quarantined requests.
  std::vector<std::string> quarantined_requests(time_point now) const;

 private:
  struct entry {
    /// Those that interrupted it; no more are stored than quarantine it.
    std::set<std::string> servers;
    bool quarantined = false;
    time_point recorded_at;
  };

  static bool has_reached_limit(const entry& known, time_point now);
  void evict_excess(time_point now);

  std::size_t max_requests;
  std::map<std::string, entry> entries;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CRASH_COUNTER_HPP
