#include "app/command_registry.hpp"

#include <utility>

namespace boragehill::app {

command_registry& command_registry::instance() {
  static command_registry registry;
  return registry;
}

void command_registry::add(command added) {
  this->commands[added.name] = std::move(added);
}

const command* command_registry::find(const std::string& name) const {
  const auto found = this->commands.find(name);
  return found == this->commands.end() ? nullptr : &found->second;
}

std::string command_registry::help() const {
  std::string text = "boragehill: serves rarely used models\n\nCommands:\n";
  for (const auto& [name, each] : this->commands) {
    text += "  boragehill " + each.usage + "\n      " + each.summary + "\n";
  }
  text += "\nFlags of each: boragehill help <command>\n";
  return text;
}

}  // namespace boragehill::app
