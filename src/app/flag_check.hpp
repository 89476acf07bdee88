#ifndef BORAGEHILL_APP_FLAG_CHECK_HPP
#define BORAGEHILL_APP_FLAG_CHECK_HPP

#include <optional>
#include <string>
#include <vector>

namespace boragehill::app {

struct command;

/// Checks the flags among a command's arguments, since Abseil's own parser
/// ends the process with status 1 for a wrong one.
///
/// \param chosen The command.
/// \param arguments All arguments after the program's name.
/// \return What is wrong with the first wrong flag; nothing if all are good.
std::optional<std::string> wrong_flag(
    const command& chosen, const std::vector<std::string>& arguments);

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_FLAG_CHECK_HPP
