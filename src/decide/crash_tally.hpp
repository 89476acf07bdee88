#ifndef BORAGEHILL_DECIDE_CRASH_TALLY_HPP
#define BORAGEHILL_DECIDE_CRASH_TALLY_HPP

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// The planner's sum of all routers' strikes against requests that crash
/// backend servers; see `crash_watch`.
class crash_tally {
 public:
  /// Requests remembered; convicted ones stay longest.
  static constexpr std::size_t most = 1024;

  /// A router saw a run of that request break off.
  /// \return True if that convicts it.
  bool on_strike(const std::string& fingerprint, time_point now);

  /// \return Those that all routers should refuse.
  std::vector<std::string> convicted(time_point now) const;

 private:
  struct entry {
    int strikes = 0;
    time_point at;
  };

  void make_room(time_point now);

  std::map<std::string, entry> entries;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CRASH_TALLY_HPP
