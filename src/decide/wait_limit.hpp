#ifndef BORAGEHILL_DECIDE_WAIT_LIMIT_HPP
#define BORAGEHILL_DECIDE_WAIT_LIMIT_HPP

#include <optional>

#include <boragehill/time_point.hpp>

#include "decide/wait_case.hpp"

namespace boragehill::decide {

/// How long a caller waits for the first event of a stream, or for anything,
/// before it leaves by itself.
///
/// Callers of streams leave after a silence of two seconds, four times the
/// objective or eight times the objective between events, whichever is
/// longest; other callers wait out their deadline.
milliseconds patience_of(const wait_case& waiting);

/// Judges whether a waiting request should be refused now.
///
/// The load it answers: demand moves to a model that stands nowhere, and its
/// callers wait for a load that takes longer than they stay. Held to the end
/// they get nothing and don't know when to come back; told at once when the
/// model will be there, they are served then.
/// \return After what time its caller should come back; nothing if it should
///     wait on.
std::optional<milliseconds> refuse_waiting_now(const wait_case& waiting);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WAIT_LIMIT_HPP
