#ifndef BORAGEHILL_DECIDE_REVISION_VIEW_HPP
#define BORAGEHILL_DECIDE_REVISION_VIEW_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/revision_view_types.hpp"

namespace boragehill::decide {

/// Tracks the configuration revision in force at a router, and when it was last
/// confirmed to be the newest.
///
/// A confirmation is dated to when the read or heartbeat was sent: its response
/// may have waited in a socket while the process was paused.
class revision_view {
 public:
  revision_view(revision_view_settings settings, time_point now);

  /// Puts the revision of a complete catalog from the table or a peer in force.
  ///
  /// \return False if the revision is not newer than the one in force; the
  ///   catalog must then be discarded.
  bool apply(std::uint64_t revision);

  /// Records the revision in the catalog row.
  ///
  /// The read confirms the revision in force unless the row's is newer. After
  /// a newer catalog was fetched and applied, call this again with the same
  /// arguments.
  ///
  /// \param revision The revision in the row.
  /// \param sent_at When the read was sent.
  /// \return True if the row is newer and its profiles must be read and
  ///   applied.
  bool on_table_read(std::uint64_t revision, time_point sent_at);

  /// Records a peer's response to a heartbeat of this router. Heartbeats that a
  /// peer sends must not be passed here, as their time in transit is unknown.
  ///
  /// \param sent_at When this router sent the heartbeat.
  /// \return True if the peer's revision is newer and its catalog must be
  ///   fetched.
  bool on_peer_response(const std::string& peer, const peer_revision& response,
                        time_point sent_at);

  /// Records that a peer did not respond to a heartbeat.
  ///
  /// \param sent_at When this router sent the heartbeat.
  void on_peer_unresponsive(const std::string& peer, time_point sent_at);

  /// Records that the process is running; call it at a short, regular interval.
  /// A gap between calls is taken as a pause of the process.
  void on_tick(time_point now);

  /// Returns whether requests may be admitted.
  ///
  /// They may if the last confirmation is recent and not from before a pause,
  /// or if the table is presumed down because the peers have no confirmation
  /// either. Without peers, the table is always presumed down.
  ///
  /// \param peers Ids of all other routers in the VM list, including those that
  ///   do not respond.
  /// \param now The current time.
  revision_readiness readiness(const std::vector<std::string>& peers,
                               time_point now) const;

  /// Returns the revision in force; 0 before the first catalog.
  std::uint64_t revision() const;

  /// Returns the age of the last confirmation, as sent in heartbeats; nothing
  /// if there was none.
  std::optional<milliseconds> confirmed_age(time_point now) const;

 private:
  struct peer_state {
    time_point heartbeat_sent_at;
    /// Nothing if the peer did not respond.
    std::optional<peer_revision> response;
  };

  bool is_paused(time_point now) const;
  void confirm(time_point at);
  bool is_table_presumed_down(const std::vector<std::string>& peers,
                              time_point now) const;
  void record_peer_state(const std::string& peer, const peer_state& latest);
  const peer_state* recent_state(const std::string& peer, time_point now) const;
  bool is_also_unconfirmed(const peer_state& known, time_point now) const;

  revision_view_settings settings;
  std::uint64_t revision_in_force = 0;
  bool has_catalog = false;
  std::optional<time_point> confirmed_at;
  time_point last_tick;
  /// When the process started or resumed after its last pause. Earlier
  /// confirmations are ignored.
  time_point valid_from;
  std::map<std::string, peer_state> peer_states;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_REVISION_VIEW_HPP
