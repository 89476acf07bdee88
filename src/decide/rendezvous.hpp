#ifndef BORAGEHILL_DECIDE_RENDEZVOUS_HPP
#define BORAGEHILL_DECIDE_RENDEZVOUS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragehill::decide {

/// Returns the weight of a node for a target in highest-random-weight hashing.
/// The same on every machine and in every build.
std::uint64_t rendezvous_weight(std::string_view node, std::string_view target);

/// Returns the routers that look after a target, best first, by
/// highest-random-weight (rendezvous) hashing.
///
///     home_order("model:valves-70b", {"r1", "r2", "r3"}, 2)
///
/// \param target The model or pool, as "model:<base>" or "pool:<name>".
/// \param routers The ids of the live routers, in any order.
/// \param count The most to return.
/// \return At most `count` ids; independent of the order of `routers`.
std::vector<std::string> home_order(std::string_view target,
                                    std::vector<std::string> routers,
                                    std::size_t count);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RENDEZVOUS_HPP
