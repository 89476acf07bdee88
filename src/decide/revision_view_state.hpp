#ifndef BORAGEHILL_DECIDE_REVISION_VIEW_STATE_HPP
#define BORAGEHILL_DECIDE_REVISION_VIEW_STATE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Bounds of `revision_view`.
struct revision_view_settings {
  /// The oldest confirmation under which requests are admitted.
  milliseconds confirm_within{10000};
  /// A gap between two ticks that counts as a pause of the process.
  milliseconds pause_limit{3000};
  /// Peers, or all if there are fewer, that must have been asked within
  /// `peer_asked_within` before a router without a confirmation takes the table
  /// for down.
  std::size_t peers_asked = 3;
  milliseconds peer_asked_within{3000};
  /// How far back answers tell of the peers' state. Routers ask a few peers at
  /// a time, so it spans many rounds.
  milliseconds peer_answer_within{10000};
  /// The share of the peers asked in that time that must have answered: below
  /// 1, so that a dead peer still listed does not stop the others; above a
  /// half, so that a router cut off with its half of the fleet stops.
  double answering_share = 0.75;

  bool operator==(const revision_view_settings&) const = default;
};

/// Whether a router may admit requests under the revision it has in force.
enum class revision_readiness {
  ready,
  /// It holds no catalog yet.
  no_catalog,
  /// It was paused and has not confirmed its revision since.
  paused,
  /// It could confirm its revision neither with the table nor with a peer.
  unconfirmed,
};

/// What a peer's answer to a heartbeat says of its revision.
struct peer_revision {
  std::uint64_t revision = 0;
  /// The age of the peer's own confirmation when it answered; nothing if it
  /// never had one.
  std::optional<milliseconds> confirmed_age;

  bool operator==(const peer_revision&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_REVISION_VIEW_STATE_HPP
