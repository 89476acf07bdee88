#ifndef BORAGEHILL_ROUTER_SERVICE_SETTINGS_HPP
#define BORAGEHILL_ROUTER_SERVICE_SETTINGS_HPP

#include <string>

#include "kernel/plugin_settings.hpp"

namespace boragehill::router {

/// Which plug-in speaks to one of the platform's services, and where it is.
struct service_settings {
  std::string plugin;
  kernel::plugin_settings settings;

  bool operator==(const service_settings&) const = default;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_SERVICE_SETTINGS_HPP
