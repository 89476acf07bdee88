#ifndef BORAGEHILL_APP_EXPLAIN_LOG_HPP
#define BORAGEHILL_APP_EXPLAIN_LOG_HPP

#include <string>

#include "app/exit_code.hpp"

namespace boragehill::app {

/// Prints the story of a request from the logs that `--log` names.
/// \param request The id that its caller gave it.
exit_code explain_from_log(const std::string& request);

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_EXPLAIN_LOG_HPP
