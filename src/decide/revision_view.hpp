#ifndef BORAGEHILL_DECIDE_REVISION_VIEW_HPP
#define BORAGEHILL_DECIDE_REVISION_VIEW_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/revision_view_state.hpp"

namespace boragehill::decide {

/// What a router knows of the published configuration: the revision in force
/// and when it was last known to be the newest.
///
/// Every confirmation counts from when the question was SENT: an answer may
/// have waited in a socket while the process was paused.
class revision_view {
 public:
  revision_view(revision_view_settings settings, time_point now);

  /// Puts a whole catalog, from the table or a peer, in force.
  ///
  /// \return False if it is not newer than the one in force: drop it.
  bool apply(std::uint64_t revision);

  /// Notes the catalog row's revision.
  ///
  /// \param began When the read was sent. It confirms the revision in force
  ///   only if that is no older than the row's: after fetching and applying a
  ///   newer catalog, call again with the same arguments.
  /// \return True if the row is newer: read the profiles and apply them.
  bool on_table_read(std::uint64_t revision, time_point began);

  /// Notes a peer's answer to a heartbeat. Heartbeats that peers send on their
  /// own must not be passed here: their age in transit is not known.
  ///
  /// \param began When this router sent the heartbeat that was answered.
  /// \return True if the peer's revision is newer: fetch its catalog.
  bool on_peer_answer(const std::string& peer, const peer_revision& answer,
                      time_point began);

  /// Notes that a peer did not answer a heartbeat.
  ///
  /// \param began When this router sent it.
  void on_peer_silent(const std::string& peer, time_point began);

  /// Notes that the process runs; call at a steady short interval.
  void on_tick(time_point now);

  /// Returns whether requests may be admitted: the last confirmation is recent
  /// and, after a pause, younger than the pause; or the table seems down, as
  /// the peers that were asked have no confirmation either. A router without
  /// peers counts as the latter.
  ///
  /// \param peers The ids of all other routers that the VM list names; those
  ///   that do not answer too.
  revision_readiness readiness(const std::vector<std::string>& peers,
                               time_point now) const;

  /// Returns the revision in force; 0 before the first.
  std::uint64_t revision() const;

  /// Returns the age of the last confirmation, for heartbeats; nothing if
  /// there was none.
  std::optional<milliseconds> confirmed_age(time_point now) const;

 private:
  struct peer_state {
    time_point began;
    /// Nothing if the peer did not answer.
    std::optional<peer_revision> answer;
  };

  bool is_paused(time_point now) const;
  void confirm(time_point at);
  bool table_seems_down(const std::vector<std::string>& peers,
                        time_point now) const;
  void note(const std::string& peer, const peer_state& seen);
  const peer_state* recent_state(const std::string& peer, time_point now) const;
  bool is_alike(const peer_state& known, time_point now) const;

  revision_view_settings settings;
  std::uint64_t in_force = 0;
  bool has_catalog = false;
  std::optional<time_point> confirmed_at;
  time_point last_tick;
  /// When the process started or went on after its last pause:
  /// confirmations from before don't count.
  time_point valid_from;
  std::map<std::string, peer_state> peer_states;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_REVISION_VIEW_HPP
