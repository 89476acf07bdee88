#ifndef BORAGEHILL_DECIDE_SUSPECT_GUARD_HPP
#define BORAGEHILL_DECIDE_SUSPECT_GUARD_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/crash_suspects.hpp"

namespace boragehill::decide {

/// One router's view of what crashes servers, requests or parts of prompts:
/// refuses what the planner has quarantined, and tells it of complete responses
/// that clear a suspect. Only a response since the first crash does: one from
/// before it says nothing of what has begun to crash since.
///
/// Counts what it sees itself, too: where an interruption is a crash at once,
/// always, and elsewhere without a planner, which could tell whether the server
/// has ended.
class suspect_guard {
 public:
  /// Maximum number of suspects whose complete responses are remembered.
  static constexpr std::size_t max_completed = 2048;

  explicit suspect_guard(const crash_suspect_settings& settings = part_settings)
      : settings(settings), own_counts(settings) {}

  /// Records responses that a server interrupted.
  void on_interrupted(const std::string& server, const sighting_map& found,
                      time_point now);

  /// Records a successful response to a request with these suspects.
  /// \return True if it clears one of them.
  bool on_completed(const std::vector<std::string>& suspects, time_point now);

  /// Takes up what the planner says.
  /// \param news The suspects that it asks about, each with the time since the
  ///     first crash that counts against it.
  void on_suspected(const std::map<std::string, milliseconds>& news,
                    time_point now);
  /// \param news All quarantined suspects.
  /// \param first The planner may be new, and hasn't heard of what is
  ///     quarantined here.
  /// \return Those that weren't quarantined here.
  std::vector<std::string> on_quarantined(const std::vector<std::string>& news,
                                          bool first, time_point now);
  /// Takes up what the store holds, unless a planner tells more.
  /// \param ages All that is quarantined, with the time since then.
  /// \return Those that weren't quarantined here.
  std::vector<std::string> restore(
      const std::map<std::string, milliseconds>& ages, time_point now);
  void on_planner_linked();
  void on_planner_lost();

  /// Quarantines by own counts.
  /// \return The newly quarantined suspects.
  std::vector<std::string> update(time_point now);

  /// \return True if a request with these suspects must be refused.
  bool is_quarantined(const std::vector<std::string>& suspects,
                      time_point now) const;

  /// \return True if the request may crash servers: by the planner, without
  ///     one by own counts.
  bool is_suspected(const std::string& suspect, time_point now) const;

  /// \return All quarantined suspects, for a new planner.
  std::vector<std::string> quarantined(time_point now) const;

  /// \return Suspects with a complete response since their first crash that
  ///     weren't returned before.
  std::vector<std::string> take_cleared();

  /// \return Suspects with a complete response before their first crash that
  ///     weren't returned before.
  std::vector<std::string> take_completed_before();

 private:
  struct completion {
    std::string suspect;
    time_point at;
  };

  void remember(const std::string& suspect, time_point now);
  /// \return True if a complete response clears the suspect.
  bool clear_if_completed(const std::string& suspect);

  crash_suspect_settings settings;
  /// The time of the last complete response by suspect.
  std::unordered_map<std::string, time_point> completed;
  /// Each stored suspect once, in the order in which they may be forgotten.
  std::deque<completion> completed_by_age;
  /// The time of the first crash by suspect that the planner asks about.
  std::map<std::string, time_point> suspected;
  /// When each suspect was quarantined.
  std::map<std::string, time_point> refused;
  std::set<std::string> cleared;
  std::set<std::string> completed_before;
  crash_suspects own_counts;
  std::uint64_t interruptions = 0;
  bool linked = false;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SUSPECT_GUARD_HPP
