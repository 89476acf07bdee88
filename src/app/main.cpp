#include <absl/flags/parse.h>
#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "app/command_registry.hpp"
#include "app/flag_check.hpp"

namespace {

using boragehill::app::command_registry;
using boragehill::app::exit_code;

using texts = std::vector<std::string>;

exit_code unknown_command(const std::string& name) {
  std::cerr << "boragehill: no command \"" << name << "\"\n\n"
            << command_registry::instance().help();
  return exit_code::usage;
}

exit_code show_help(const texts& arguments) {
  const auto& commands = command_registry::instance();
  const bool general = arguments.size() < 2;
  if (general) {
    std::cout << commands.help();
    return exit_code::ok;
  }
  const auto* chosen = commands.find(arguments[1]);
  if (chosen == nullptr) return unknown_command(arguments[1]);
  std::cout << commands.help_of(*chosen);
  return exit_code::ok;
}

bool asks_for_help(const texts& arguments) {
  return arguments.empty() || arguments.front() == "help" ||
         std::find(arguments.begin(), arguments.end(), "--help") !=
             arguments.end();
}

exit_code run(int argc, char** argv) {
  texts arguments(argv + 1, argv + argc);
  if (asks_for_help(arguments)) {
    const bool command_first = !arguments.empty() &&
                               arguments.front().front() != '-' &&
                               arguments.front() != "help";
    if (command_first) arguments.insert(arguments.begin(), "help");
    return show_help(arguments);
  }
  const auto& commands = command_registry::instance();
  const auto* chosen = commands.find(arguments.front());
  if (chosen == nullptr) return unknown_command(arguments.front());
  if (const auto wrong = boragehill::app::wrong_flag(*chosen, arguments)) {
    std::cerr << "boragehill: " << *wrong << "\nFlags: boragehill help "
              << chosen->name << "\n";
    return exit_code::usage;
  }
  const auto left = absl::ParseCommandLine(argc, argv);
  return chosen->run({left.begin() + 2, left.end()});
}

}  // namespace

int main(int argc, char** argv) {
  return static_cast<int>(run(argc, argv));
}
