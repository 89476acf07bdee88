#include "app/flag_check.hpp"

#include <absl/flags/reflection.h>
#include <algorithm>

#include "app/command.hpp"

namespace boragehill::app {

namespace {

/// One flag as it was typed.
struct typed_flag {
  std::string name;
  std::optional<std::string> value;
};

typed_flag split(const std::string& argument) {
  const std::string text = argument.substr(argument.find_first_not_of('-'));
  const auto equals = text.find('=');
  if (equals == std::string::npos) return {text, std::nullopt};
  return {text.substr(0, equals), text.substr(equals + 1)};
}

bool is_flag(const std::string& argument) {
  return argument.size() > 1 && argument.front() == '-' &&
         argument.find_first_not_of('-') != std::string::npos;
}

bool takes(const command& chosen, const std::string& name) {
  return std::find(chosen.flags.begin(), chosen.flags.end(), name) !=
         chosen.flags.end();
}

std::optional<std::string> wrong_value(const typed_flag& typed) {
  auto* flag = absl::FindCommandLineFlag(typed.name);
  if (flag == nullptr) return "--" + typed.name + " is not known";
  if (!typed.value) return "--" + typed.name + " takes a value";
  std::string why;
  if (flag->ParseFrom(*typed.value, &why)) return std::nullopt;
  return "--" + typed.name + "=" + *typed.value + ": " + why;
}

}  // namespace

std::optional<std::string> wrong_flag(
    const command& chosen, const std::vector<std::string>& arguments) {
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    if (arguments[i] == "--") return std::nullopt;
    if (!is_flag(arguments[i])) continue;
    typed_flag typed = split(arguments[i]);
    const bool negated =
        typed.name.starts_with("no") && !takes(chosen, typed.name);
    if (negated) typed.name.erase(0, 2);
    if (!takes(chosen, typed.name)) {
      return arguments[i] + " is not a flag of " + chosen.name;
    }
    const auto* flag = absl::FindCommandLineFlag(typed.name);
    const bool is_switch = flag != nullptr && flag->IsOfType<bool>();
    if (negated && !is_switch) return arguments[i] + " is not known";
    if (is_switch && !typed.value) continue;
    if (!typed.value && i + 1 < arguments.size()) typed.value = arguments[++i];
    if (auto wrong = wrong_value(typed)) return wrong;
  }
  return std::nullopt;
}

}  // namespace boragehill::app
