#ifndef BORAGEHILL_AGENT_PLUGIN_CHOICE_HPP
#define BORAGEHILL_AGENT_PLUGIN_CHOICE_HPP

#include <string>

#include "kernel/plugin_settings.hpp"

namespace boragehill::agent {

/// A plug-in by name and what it is made with.
struct plugin_choice {
  std::string plugin = "http";
  kernel::plugin_settings settings;

  bool operator==(const plugin_choice&) const = default;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_PLUGIN_CHOICE_HPP
