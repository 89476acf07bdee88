#ifndef BORAGEHILL_WIRE_REPLICA_STATE_HPP
#define BORAGEHILL_WIRE_REPLICA_STATE_HPP

namespace boragehill::wire {

/// A granted replica's state at its backend server.
enum class replica_state { cold = 0, loading = 1, ready = 2, unloading = 3 };

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_REPLICA_STATE_HPP
