#ifndef BORAGEHILL_APP_STOP_SIGNAL_HPP
#define BORAGEHILL_APP_STOP_SIGNAL_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::app {

/// Blocks SIGTERM and SIGINT in this thread and every thread it starts, so
/// that only `wait_for_stop` takes them. Called before any thread is made.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT.
///
/// \param limit How long to wait.
/// \return True if one came.
bool wait_for_stop(milliseconds limit);

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_STOP_SIGNAL_HPP
