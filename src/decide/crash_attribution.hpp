#ifndef BORAGEHILL_DECIDE_CRASH_ATTRIBUTION_HPP
#define BORAGEHILL_DECIDE_CRASH_ATTRIBUTION_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/crash_attribution_settings.hpp"
#include "decide/isolation_decision.hpp"

namespace boragehill::decide {

/// Identifies poison requests, which crash the backend servers that run them,
/// from the requests in flight at each crash, and quarantines them.
///
/// A crash implicates every fingerprint in flight. Implicated requests then run
/// apart from each other, so the next crash has a single implicated request in
/// flight, which is quarantined. As long as at most one poison request is in
/// flight at a time, it is quarantined at its second crash and no harmless
/// request ever is.
class crash_attribution {
 public:
  explicit crash_attribution(crash_attribution_settings settings);

  /// Returns whether and how the request may run now.
  isolation_decision evaluate(const std::string& fingerprint,
                              time_point now) const;

  /// Records the crash of one backend server.
  ///
  /// \param in_flight All fingerprints in flight there, in any order.
  /// \return The newly quarantined ones, to be written to the table and sent to
  ///   the other routers.
  std::vector<std::string> on_crash(const std::vector<std::string>& in_flight,
                                    time_point now);

  /// Clears the crashes of a request that got a complete response. A quarantine
  /// isn't cleared.
  void on_completed(const std::string& fingerprint);

  /// Adds a quarantine received from another router or read from the table.
  void quarantine(const std::string& fingerprint, time_point now);

  /// Returns at most `max_count` quarantined fingerprints, the latest first.
  std::vector<std::string> recent_quarantines(std::size_t max_count) const;

  /// Returns the number of stored fingerprints.
  std::size_t size() const;

 private:
  struct entry {
    std::uint32_t crash_count = 0;
    bool is_quarantined = false;
    time_point recorded_at;
  };

  const entry* find(const std::string& fingerprint, time_point now) const;
  bool is_implicated(const std::string& fingerprint, time_point now) const;
  void evict_excess(time_point now);

  crash_attribution_settings settings;
  std::map<std::string, entry> entries;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CRASH_ATTRIBUTION_HPP
