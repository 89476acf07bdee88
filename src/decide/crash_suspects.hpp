#ifndef BORAGEHILL_DECIDE_CRASH_SUSPECTS_HPP
#define BORAGEHILL_DECIDE_CRASH_SUSPECTS_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/crash_suspect_settings.hpp"
#include "decide/suspect_sighting.hpp"

namespace boragehill::decide {

/// Finds what crashes each server that runs it, among the suspects that were in
/// flight at servers that ended: whole requests, or parts of prompts.
///
/// The cause is in flight at each of these crashes, and no response with it is
/// complete after the first. Other suspects are in flight there by chance: a
/// complete response since then clears them. What a quarantined suspect
/// explains is weaker evidence against others, or none, by the settings.
class crash_suspects {
 public:
  /// Crashes after which a suspect is quarantined.
  static constexpr std::size_t crash_limit = 3;
  /// The same where a quarantined suspect explains all of them but one or two.
  static constexpr std::size_t partly_explained_limit = 4;
  /// The same where quarantined suspects explain them all: several causes may
  /// be in flight together at each of them.
  static constexpr std::size_t explained_limit = 5;
  /// Servers that end within this time are one crash: a failure domain that is
  /// lost takes many servers with it, whatever they were sent. A run that began
  /// after the one before had ended is another crash.
  static constexpr milliseconds same_crash{50};
  /// Two routers' reports place a moment alike within this.
  static constexpr milliseconds report_jitter{5};
  /// A server that responds so long after an interruption has not ended.
  static constexpr milliseconds alive_after{500};
  /// How long crashes and quarantines count.
  static constexpr milliseconds retention{600000};
  /// How long an interruption waits to be shown to be a crash.
  static constexpr milliseconds confirmation_limit{10000};
  /// Maximum number of stored suspects.
  static constexpr std::size_t max_suspects = 1024;
  /// Maximum number of servers with interruptions that are stored.
  static constexpr std::size_t max_servers = 256;
  /// Maximum number of suspects stored of one server, and of crashes of one
  /// suspect.
  static constexpr std::size_t max_suspects_of_server = 256;
  static constexpr std::size_t max_crashes_of_suspect = 8;
  /// Maximum number of reports stored of one crash.
  static constexpr std::size_t max_reports_of_crash = 512;

  explicit crash_suspects(
      const crash_suspect_settings& settings = part_settings)
      : settings(settings) {}

  /// Records responses that a server interrupted. Several routers may report
  /// the same server.
  /// \param age Since the first of them broke off.
  /// \param report Whose they are; a later one of that name tells of the same
  ///     runs again.
  void on_interrupted(const std::string& server, milliseconds age,
                      const sighting_map& found, time_point now,
                      const std::string& report = {});

  /// Records that a server's process has ended.
  void on_server_ended(const std::string& server, time_point now);

  /// Records that a server's process still runs, unless it is known to have
  /// ended.
  void on_server_responded(const std::string& server, time_point now);

  /// Records a complete response with the suspect after its first crash.
  /// \return True if it was quarantined.
  bool on_completed(const std::string& suspect);

  /// Records a complete response with the suspect from before its first crash:
  /// others are blamed before it.
  void on_completed_before(const std::string& suspect);

  /// Quarantines a suspect that an earlier planner found.
  /// \param since An existing quarantine isn't renewed, so that it expires.
  void quarantine(const std::string& suspect, time_point since);

  /// Quarantines the suspects that have reached the limit.
  /// \return The newly quarantined ones.
  std::vector<std::string> update(time_point now);

  /// \return Servers with interruptions of which it isn't known whether they
  ///     ended.
  std::vector<std::string> unconfirmed() const;

  /// \return All quarantined suspects.
  std::vector<std::string> quarantined(time_point now) const;

  /// \return All quarantined suspects, with the time of their quarantine.
  std::map<std::string, time_point> quarantined_since(time_point now) const;

  bool is_quarantined(const std::string& suspect, time_point now) const;

  /// \return True if routers are asked about the suspect.
  bool is_suspected(const std::string& suspect, time_point now) const;

  /// \return True if crashes are stored for the suspect.
  bool is_counted(const std::string& suspect) const {
    return this->suspects.contains(suspect);
  }

  /// \return The servers whose crashes are stored for a suspect.
  std::vector<std::string> servers_of(const std::string& suspect) const;

  /// \return How many of these crashes a quarantined suspect explains.
  std::size_t explained_of(const std::string& suspect) const;

  /// \return The number of stored suspects.
  std::size_t size() const { return this->suspects.size(); }

  /// \return The suspects that routers are asked about, quarantined ones among
  ///     them, with the time of the first crash that counts against each.
  std::map<std::string, time_point> suspected(time_point now) const;

 private:
  struct crash {
    std::string server;
    time_point at;
    /// When the first run with the suspect began there, if that is known.
    std::optional<time_point> began;
    /// Runs with the suspect that broke off there, by report.
    std::map<std::string, int> runs;
    /// A quarantined suspect was in flight there.
    bool explained = false;
  };
  struct suspect_entry {
    std::vector<crash> crashes;
    int position = 0;
    bool asked = false;
    bool completed_before = false;
    bool quarantined = false;
    time_point asked_at;
    time_point recorded_at;
  };
  struct server_entry {
    time_point interrupted_at;
    sighting_map suspects;
    /// Its crash counts against the suspects.
    bool counted = false;
    /// Its process is known to have ended.
    bool ended = false;
  };
  using suspect_map = std::map<std::string, suspect_entry>;

  /// \return The crashes of a suspect.
  static std::size_t count(const suspect_entry& known);
  /// \return Those of them that nothing explains.
  static std::size_t count_unexplained(const suspect_entry& known);
  /// \return True if the suspect may be quarantined.
  static bool reaches_limit(const suspect_entry& known);
  /// \return How many of its crashes that count are not the same one.
  template <class Predicate>
  static std::size_t count_if(const suspect_entry& known, Predicate counts);
  static int count_runs(const suspect_entry& known);
  static bool is_same_crash(time_point last, const crash& next);
  static bool holds(const suspect_entry& known, time_point now);
  /// \param at When the first response broke off there.
  void add_crash(const std::string& server, const server_entry& known,
                 const sighting_map& found, time_point at, time_point now);
  /// Drops a server that ended together with another one, if as many are stored
  /// as may be.
  static void make_room(suspect_entry& known);
  void note_runs(const std::string& server, const sighting_map& found,
                 const std::string& report);
  /// \return True if a quarantined suspect was in flight at the server.
  bool is_explained(const server_entry& known) const;
  /// \return The suspects to blame next; several if nothing tells them apart.
  std::vector<std::string> next_to_quarantine(time_point now) const;
  /// A quarantined suspect was in flight at the crash of a server.
  void explain_crash(const std::string& server);
  /// Counts the crash of a server for no suspect that isn't quarantined.
  void forget_crash(const std::string& server);
  void drop_expired(time_point now);
  void evict_excess();

  crash_suspect_settings settings;
  suspect_map suspects;
  std::map<std::string, server_entry> servers;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CRASH_SUSPECTS_HPP
