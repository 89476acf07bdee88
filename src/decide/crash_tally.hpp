#ifndef BORAGEHILL_DECIDE_CRASH_TALLY_HPP
#define BORAGEHILL_DECIDE_CRASH_TALLY_HPP

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Strikes against requests that crash backend servers, a bounded number of
/// them: a router's own, or the planner's sum of all routers'. See
/// `crash_watch`.
class crash_tally {
 public:
  /// Strikes that convict. Two may befall an innocent request that is sent
  /// again while a failure domain goes down.
  static constexpr int limit = 3;
  /// How long strikes and convictions count. What crashed may have been mended
  /// since; one crash in ten minutes is borne.
  static constexpr milliseconds keep{600000};

  /// \param most Requests remembered; convicted ones stay longest.
  explicit crash_tally(std::size_t most) : most(most) {}

  /// A run of that request broke off.
  /// \return True if that convicts it.
  bool on_strike(const std::string& fingerprint, time_point now);

  /// It is known to be guilty. A conviction that stands isn't renewed: told
  /// again by each new planner, it must end some day all the same.
  void convict(const std::string& fingerprint, time_point now);

  /// It is known to be innocent.
  void forget(const std::string& fingerprint);

  bool is_convicted(const std::string& fingerprint, time_point now) const;

  /// \return All that are convicted.
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
