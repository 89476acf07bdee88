#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>
#include <string>
#include <vector>

#include "app/command_registry.hpp"

namespace {

using boragehill::app::command_registry;
using boragehill::app::exit_code;

exit_code run(const std::vector<std::string>& arguments) {
  const auto& commands = command_registry::instance();
  if (arguments.empty() || arguments.front() == "help") {
    std::cout << commands.help();
    return exit_code::ok;
  }
  const auto* chosen = commands.find(arguments.front());
  if (chosen == nullptr) {
    std::cerr << "boragehill: no command \"" << arguments.front() << "\"\n\n"
              << commands.help();
    return exit_code::usage;
  }
  return chosen->run({arguments.begin() + 1, arguments.end()});
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(command_registry::instance().help());
  const auto left = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> arguments(left.begin() + 1, left.end());
  return static_cast<int>(run(arguments));
}
