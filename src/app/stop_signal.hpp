#ifndef BORAGEHILL_APP_STOP_SIGNAL_HPP
#define BORAGEHILL_APP_STOP_SIGNAL_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::app {

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and every thread it starts,
/// so that only `wait_for_stop` takes them. Called before any thread is made.
void block_stop_signals();

/// Waits for SIGTERM, SIGINT or SIGHUP.
///
/// \param limit How long to wait.
/// \return True if a stop was asked for.
bool wait_for_stop(milliseconds limit);

/// \return True if a SIGHUP came since the last call: the settings file has
///     changed.
bool take_reload();

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_STOP_SIGNAL_HPP
