#ifndef BORAGEHILL_APP_LOG_STORY_HPP
#define BORAGEHILL_APP_LOG_STORY_HPP

#include <string>
#include <vector>

#include "app/log_line.hpp"

namespace boragehill::app {

/// Picks out of the logs of all processes what explains one request: its own
/// lines; while it was under way, the decisions and orders for its model, what
/// became of the servers it was sent to, and changes of what its router could
/// know (store, planner, configuration, start and stop).
///
/// \param lines Of any processes, in any order.
/// \param request The id that its caller gave it.
/// \return In the order of time; nothing if no line names the request.
std::vector<log_line> story_of(const std::vector<log_line>& lines,
                               const std::string& request);

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_LOG_STORY_HPP
