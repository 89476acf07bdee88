#ifndef BORAGEHILL_DECIDE_END_CONFIRMATION_HPP
#define BORAGEHILL_DECIDE_END_CONFIRMATION_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// What came of a probe of the server whose response ended.
enum class probe_outcome {
  /// The server responded, or can't be probed.
  alive,
  /// Another lifetime responded, or nobody listens there.
  gone,
  /// The connection was reset: the server rejects connections, or the port of
  /// its process is being closed.
  reset,
  /// No response in time, as from a server without a free slot.
  silent,
};

enum class confirmation_step { complete, broken, probe_again };

/// Decides whether a response without a frame that ended in order is complete.
///
/// \param waited Since the response ended.
confirmation_step judge_probe(probe_outcome outcome, milliseconds waited);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_END_CONFIRMATION_HPP
