#ifndef BORAGEHILL_APP_LOG_FILE_HPP
#define BORAGEHILL_APP_LOG_FILE_HPP

#include <optional>
#include <vector>

#include "app/log_line.hpp"

namespace boragehill::app {

/// \return True if `--log` was given.
bool wants_log();

/// Reads the logs that `--log` names.
/// \return Nothing if they can't be read; that was said on standard error.
std::optional<std::vector<log_line>> read_log();

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_LOG_FILE_HPP
