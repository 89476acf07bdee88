#ifndef BORAGEHILL_DECIDE_SUSPECT_GUARD_HPP
#define BORAGEHILL_DECIDE_SUSPECT_GUARD_HPP

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/crash_suspects.hpp"

namespace boragehill::decide {

/// One router's view of prompt parts that crash servers: refuses what the
/// planner has quarantined, and tells it of complete responses that clear a
/// part. Without a planner it counts what it sees itself.
class suspect_guard {
 public:
  /// Maximum number of parts whose complete responses are remembered.
  static constexpr std::size_t max_completed = 2048;

  /// Records a response that broke off; counted here only without a planner,
  /// which could tell whether the server has ended.
  void on_interrupted(const interruption& found, time_point now);

  /// Records a complete response to a request with these parts.
  void on_completed(const std::vector<std::string>& parts, time_point now);

  /// Takes up what the planner says.
  /// \param news The parts that it asks about, each with the time since the
  ///     first crash that counts against it.
  void on_suspected(const std::map<std::string, milliseconds>& news,
                    time_point now);
  /// \param news All quarantined parts.
  /// \param first The planner may be new, and hasn't heard of what is
  ///     quarantined here.
  /// \return Those that weren't quarantined here.
  std::vector<std::string> on_quarantined(const std::vector<std::string>& news,
                                          bool first, time_point now);
  void on_planner_linked();
  void on_planner_lost();

  /// Quarantines by own counts while there is no planner.
  /// \return The newly quarantined parts.
  std::vector<std::string> update(time_point now);

  /// \return True if a request with these parts must be refused.
  bool is_quarantined(const std::vector<std::string>& parts,
                      time_point now) const;

  /// \return All quarantined parts, for a new planner.
  std::vector<std::string> quarantined(time_point now) const;

  /// \return Suspected parts with a complete response since their first crash
  ///     that weren't returned before.
  std::vector<std::string> take_cleared();

  /// \return Suspected parts with a complete response before their first crash
  ///     that weren't returned before.
  std::vector<std::string> take_completed_before();

 private:
  void clear_if_completed(const std::string& part);
  void evict_excess();

  /// The time of the last complete response by part.
  std::map<std::string, time_point> completed;
  /// The time of the first crash by part that the planner asks about.
  std::map<std::string, time_point> suspected;
  /// When each part was quarantined.
  std::map<std::string, time_point> refused;
  std::set<std::string> cleared;
  std::set<std::string> completed_before;
  crash_suspects own_counts;
  bool linked = false;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SUSPECT_GUARD_HPP
