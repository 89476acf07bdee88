#ifndef BORAGEHILL_DECIDE_REVISION_VIEW_TYPES_HPP
#define BORAGEHILL_DECIDE_REVISION_VIEW_TYPES_HPP

#include <cstddef>
#include <cstdint>
#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Settings of `revision_view`.
struct revision_view_settings {
  /// Maximum age of a confirmation with which requests are admitted.
  milliseconds max_confirmation_age{10000};
  /// A longer gap between two ticks is taken as a pause of the process.
  milliseconds pause_threshold{3000};
  /// Number of peers (all, if there are fewer) that must have been sent a
  /// heartbeat within `peer_contact_window` before the table is presumed down.
  std::size_t min_peers_contacted = 3;
  /// How recent those heartbeats must be.
  milliseconds peer_contact_window{3000};
  /// Maximum age of a peer's response. Routers send heartbeats to a few peers
  /// at a time, so this spans many rounds.
  milliseconds peer_response_window{10000};
  /// Fraction of the peers sent a heartbeat within `peer_response_window` that
  /// must have responded. Below 1, so that a failed peer still listed does not
  /// make the others unready; above 0.5, so that a router partitioned off with
  /// half of the fleet becomes unready.
  double min_response_share = 0.75;

  bool operator==(const revision_view_settings&) const = default;
};

/// Whether a router may admit requests under the revision it has in force.
enum class revision_readiness {
  ready,
  /// No catalog has been applied yet.
  no_catalog,
  /// The process was paused and the revision not confirmed since.
  paused,
  /// Neither the table nor a peer confirmed the revision recently.
  unconfirmed,
};

/// A peer's revision, from its response to a heartbeat.
struct peer_revision {
  std::uint64_t revision = 0;
  /// Age of the peer's own confirmation when it responded; nothing if it never
  /// had one.
  std::optional<milliseconds> confirmed_age;

  bool operator==(const peer_revision&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_REVISION_VIEW_TYPES_HPP
