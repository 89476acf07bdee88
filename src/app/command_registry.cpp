#include "app/command_registry.hpp"

#include <absl/flags/reflection.h>
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

std::string command_registry::help_of(const command& chosen) const {
  std::string text =
      "boragehill " + chosen.usage + "\n\n  " + chosen.summary + "\n";
  if (!chosen.flags.empty()) text += "\nFlags:\n";
  for (const auto& name : chosen.flags) {
    const auto* flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr) continue;
    text += "  --" + name + "\n      " + flag->Help();
    const std::string standard = flag->DefaultValue();
    text += standard.empty() ? "\n" : " (default: " + standard + ")\n";
  }
  return text;
}

}  // namespace boragehill::app
