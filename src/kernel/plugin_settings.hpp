#ifndef BORAGEHILL_KERNEL_PLUGIN_SETTINGS_HPP
#define BORAGEHILL_KERNEL_PLUGIN_SETTINGS_HPP

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::kernel {

/// What a plug-in is made with: where its service is and how long to wait.
struct plugin_settings {
  endpoint address;
  milliseconds timeout{2000};

  bool operator==(const plugin_settings&) const = default;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_PLUGIN_SETTINGS_HPP
