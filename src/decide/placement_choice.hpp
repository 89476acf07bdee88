#ifndef BORAGEHILL_DECIDE_PLACEMENT_CHOICE_HPP
#define BORAGEHILL_DECIDE_PLACEMENT_CHOICE_HPP

#include <optional>
#include <string>
#include <vector>

#include "decide/load_placement_request.hpp"
#include "decide/placement_request.hpp"

namespace boragehill::decide {

/// Returns the servers that should get a new grant, best first.
///
/// Prefers the failure domain, then the region, with the fewest grants; then
/// the nearest checkpoint, then the lowest share of memory granted. Ties are
/// broken by rendezvous hashing. A server that is draining, suspected, too
/// small or already granted is not chosen. Grants on draining, suspected or
/// unknown servers count towards `max_grants` but not towards `wanted_grants`.
///
/// \return Only additions; fewer than wanted if there are too few servers.
std::vector<std::string> choose_grant_servers(const placement_request& request);

/// Returns the granted server that is expected to have the model ready first.
///
/// A ready replica is preferred to a loading one, and that to a cold one. Of
/// the cold ones, a server that can make room is preferred to one whose memory
/// is all in use; then the nearest checkpoint, then a server that need not
/// evict. Ties go to the server with the fewest running requests, then to the
/// one with the highest rendezvous weight.
///
/// \return Nothing if no usable server holds a grant.
std::optional<std::string> choose_load_server(
    const load_placement_request& request);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLACEMENT_CHOICE_HPP
