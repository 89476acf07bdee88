#ifndef BORAGEHILL_DECIDE_PLACEMENT_CHOICE_HPP
#define BORAGEHILL_DECIDE_PLACEMENT_CHOICE_HPP

#include <optional>
#include <string>
#include <vector>

#include "decide/placement_request.hpp"
#include "decide/placement_wake.hpp"

namespace boragehill::decide {

/// Returns the servers that should get a new grant, best first.
///
/// Each goes to the failure domain with the fewest grants, then the region with
/// the fewest; there to a server with a nearer checkpoint, then with less
/// granted against its capacity; ties go by rendezvous hashing. Never to a
/// draining, suspected or too small server, nor to one that holds a grant.
/// Grants on draining, suspected or unknown servers don't count towards
/// `wanted` but do towards `most`.
///
/// \return Additions only; fewer than wanted if there are too few servers.
std::vector<std::string> choose_servers(const placement_request& request);

/// Returns the granted server that should have the model ready soonest.
///
/// A ready replica goes before a loading one, before a cold one. Among cold
/// ones a server with room, free or evictable, goes before one whose memory is
/// all in use; then the nearer checkpoint, then free before evictable memory.
///
/// \return Nothing if no usable server holds a grant.
std::optional<std::string> choose_replica_to_wake(const wake_request& request);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLACEMENT_CHOICE_HPP
