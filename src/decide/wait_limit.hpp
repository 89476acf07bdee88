#ifndef BORAGEHILL_DECIDE_WAIT_LIMIT_HPP
#define BORAGEHILL_DECIDE_WAIT_LIMIT_HPP

#include <optional>

#include <boragehill/time_point.hpp>

#include "decide/wait_state.hpp"

namespace boragehill::decide {

/// Estimates how long a caller waits for the first event of a stream, or for a
/// plain response, before it gives up.
///
/// Callers of streams give up after two seconds without an event, four times
/// the first-event objective or eight times the objective between events,
/// whichever is longest, but at their deadline at the latest; other callers
/// wait until their deadline.
/// \return Time since the start of the wait.
milliseconds caller_timeout(const wait_state& request);

/// Decides whether a request that is sent now is late: its first event can't
/// meet the latency objective any more.
///
/// Load pattern: more requests than slots. The oldest ones are sent first, and
/// if those count as in time until the objective has passed, each one is sent
/// just before and answered just after it, so that none is in time.
/// \param waited Time since the request was received.
/// \param objective Latency objective of its route; 0 if it has none.
bool is_late(milliseconds waited, milliseconds objective);

/// Decides whether a waiting request should be rejected now.
///
/// If demand moves to a model that is not loaded on any worker, loading it may
/// take longer than callers wait. Without rejection they would time out without
/// knowing when to retry; rejected at once with the expected time of the load,
/// they are served on their retry.
/// \return Time after which the caller should retry; nothing if the request
///     should keep waiting.
std::optional<milliseconds> retry_after_if_rejected(const wait_state& request);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WAIT_LIMIT_HPP
