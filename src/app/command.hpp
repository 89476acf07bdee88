#ifndef BORAGEHILL_APP_COMMAND_HPP
#define BORAGEHILL_APP_COMMAND_HPP

#include <functional>
#include <string>
#include <vector>

#include "app/exit_code.hpp"

namespace boragehill::app {

/// One command of the program; commands register themselves.
struct command {
  /// As typed: "router", "profile".
  std::string name;
  /// How it is called, for `help`.
  std::string usage;
  /// What it does, in a line, for `help`.
  std::string summary;
  /// The flags that it takes, without dashes.
  std::vector<std::string> flags;
  /// Runs it with the arguments after its name.
  std::function<exit_code(const std::vector<std::string>&)> run;
};

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_COMMAND_HPP
