#ifndef BORAGEHILL_DECIDE_SERVER_CHOICE_HPP
#define BORAGEHILL_DECIDE_SERVER_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decide/server_candidate.hpp"

namespace boragehill::decide {

/// Chooses the backend server for a request: the one with the most room, near
/// ones first where the room is alike, suspects last.
///
/// Answers the load of a busy model with several replicas: with a random
/// choice the fullest had four times the mean. What is being read counts most:
/// prompts that come in a clump to one worker hold up every stream there, so
/// that 70 of 1,130 streams paused for over 250 ms, although it was far from
/// full.
/// \param queue_share How far above its slots a server may be filled; its own
///     queue is short and knows priorities, so a little of it is used.
/// \param most_unread Prompt tokens of this router that may be unread at the
///     server, see `unread_limits`. It is lower for requests whose latency
///     objective has passed, so that those which can still be in time are: a
///     model comes back after a restart with a hundred requests waiting, and
///     sent all at once their prompts kept the worker reading for two seconds,
///     in which new requests were late, too, and streams stood still until
///     their callers left.
/// \param random Any bits; they break ties, so that routers with the same view
///     don't all choose the same server.
/// \return The index of the candidate, or nothing if all are full.
std::optional<std::size_t> choose_server(
    const std::vector<server_candidate>& candidates, double queue_share,
    int most_unread, std::uint64_t random);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SERVER_CHOICE_HPP
