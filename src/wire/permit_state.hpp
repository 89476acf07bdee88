#ifndef BORAGEHILL_WIRE_PERMIT_STATE_HPP
#define BORAGEHILL_WIRE_PERMIT_STATE_HPP

namespace boragehill::wire {

/// What a home says to a request for a permit.
enum class permit_state { granted = 0, queued = 1, refused = 2, not_home = 3 };

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_PERMIT_STATE_HPP
