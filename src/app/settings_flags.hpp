#ifndef BORAGEHILL_APP_SETTINGS_FLAGS_HPP
#define BORAGEHILL_APP_SETTINGS_FLAGS_HPP

#include <vector>

#include "kernel/settings_document.hpp"
#include "kernel/settings_problem.hpp"

namespace boragehill::app {

/// Reads the file that `--settings` names, with every `--set` applied.
kernel::settings_document read_settings_file();

/// Prints each problem on standard error.
///
/// \return True if there was none.
bool report_problems(const std::vector<kernel::settings_problem>& problems);

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_SETTINGS_FLAGS_HPP
