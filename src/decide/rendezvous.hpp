#ifndef BORAGEHILL_DECIDE_RENDEZVOUS_HPP
#define BORAGEHILL_DECIDE_RENDEZVOUS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragehill::decide {

/// Returns the weight of a node for a target in rendezvous
/// (highest-random-weight) hashing. It is the same on every machine and in
/// every build, since routers of two releases must choose the same homes.
std::uint64_t rendezvous_weight(std::string_view node, std::string_view target);

/// Returns the routers that act as homes of a target, in order of preference by
/// rendezvous hashing.
///
///     rank_homes("model:valves-70b", {"r1", "r2", "r3"}, 2)
///
/// \param target The model or pool, as "model:<base>" or "pool:<name>".
/// \param routers The ids of the live routers, in any order.
/// \param count Maximum number of routers to return.
/// \return At most `count` ids; independent of the order of `routers`.
std::vector<std::string> rank_homes(std::string_view target,
                                    std::vector<std::string> routers,
                                    std::size_t count);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RENDEZVOUS_HPP
