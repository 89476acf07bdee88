#ifndef BORAGEHILL_APP_COMMAND_REGISTRY_HPP
#define BORAGEHILL_APP_COMMAND_REGISTRY_HPP

#include <map>
#include <string>

#include "app/command.hpp"

namespace boragehill::app {

/// The program's commands by name.
class command_registry {
 public:
  static command_registry& instance();

  /// Adds a command.
  void add(command added);

  /// Returns the command, or null if there is none.
  const command* find(const std::string& name) const;

  /// Returns what `help` prints.
  std::string help() const;

  /// Returns what `help <command>` prints: its usage and each of its flags
  /// with the default.
  std::string help_of(const command& chosen) const;

 private:
  std::map<std::string, command> commands;
};

/// Registers a command when a file that holds one is linked in.
///
///     const command_registrar registered{{.name = "version", ...}};
class command_registrar {
 public:
  explicit command_registrar(command added) {
    command_registry::instance().add(std::move(added));
  }
};

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_COMMAND_REGISTRY_HPP
