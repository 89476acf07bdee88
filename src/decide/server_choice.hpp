#ifndef BORAGEHILL_DECIDE_SERVER_CHOICE_HPP
#define BORAGEHILL_DECIDE_SERVER_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decide/server_candidate.hpp"

namespace boragehill::decide {

/// Chooses the backend server for a request: the one with the most free
/// capacity, local ones first among equals, suspected ones last.
///
/// With a random choice among the replicas of a busy model, the fullest had
/// four times the mean load. The prompt backlog counts most: a burst of prompts
/// at one worker pauses every stream there, so that 70 of 1,130 streams paused
/// for over 250 ms although the worker was far from full.
/// \param queue_share Fraction of its slots by which a server may be
///     overfilled; its own queue is short and honours priorities, so it is used
///     a little.
/// \param max_backlog_tokens Limit of this router's prompt backlog at a server,
///     see `prompt_backlog_limits`. It is lower for requests whose latency
///     objective has passed, so that they don't make others late: after a model
///     was restarted with a hundred requests waiting, their prompts kept the
///     worker busy for 2 s; new requests became late, too, and streams paused
///     until their callers gave up.
/// \param random Random bits that break ties, so that routers with the same
///     view don't all choose the same server.
/// \param view_error Requests by which the known number of the other routers'
///     requests may be wrong, see `view_error_of`. Servers that differ by less
///     are chosen at random: a hundred routers that all chose the server with
///     the fewest known requests sent it all prompts of a tenth of a second,
///     and its streams paused, while others had free slots.
/// \return Index of the candidate; nothing if all are full.
std::optional<std::size_t> choose_server(
    const std::vector<server_candidate>& candidates, double queue_share,
    int max_backlog_tokens, std::uint64_t random, double view_error = 0);

/// Chooses the backend server for a request among servers that tell their pace.
///
/// Load: servers of 0.7 to 1.7 times the usual speed, and up to a hundred
/// routers that choose from the same old figures. If each of them chose the
/// server with the least work, all requests of the time since the figures would
/// go to one; a fixed random part spreads them too far at a low rate and too
/// little at a high one.
///
/// The work that others have sent since is taken to have filled the servers up
/// to one level, the least loaded first. A server is chosen with the
/// probability of the part that it has of this work, so the routers together
/// fill them up evenly. Work counts by the time that it takes at the server.
/// \param queue_share, max_backlog_tokens As for `choose_server`.
/// \param random 64 random bits.
/// \param arrivals Requests that the routers have probably sent since the time
///     of the figures, in mean requests.
/// \return Index of the candidate; nothing if all are full.
std::optional<std::size_t> choose_by_work(
    const std::vector<server_candidate>& candidates, double queue_share,
    int max_backlog_tokens, std::uint64_t random, double arrivals);

/// \return Requests by which a router's number of the other routers' requests
///     at a server may be wrong, since these send between two reports.
double view_error_of(int routers);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SERVER_CHOICE_HPP
