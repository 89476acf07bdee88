#ifndef BORAGEHILL_SIDECAR_SIDECAR_SETTINGS_HPP
#define BORAGEHILL_SIDECAR_SIDECAR_SETTINGS_HPP

#include <string>

#include <boragehill/endpoint.hpp>

#include "serve/node_settings.hpp"

namespace boragehill::kernel {
class settings_document;
}

namespace boragehill::sidecar {

/// The settings of an agent on the platform's store.
struct sidecar_settings : serve::node_settings {
  /// The plug-in that speaks the worker's protocol, and the worker's address.
  std::string worker_plugin;
  endpoint worker;
  /// The service that the worker belongs to.
  std::string service;

  bool operator==(const sidecar_settings&) const = default;
};

/// Reads an agent's settings; problems are left in the document.
sidecar_settings read_sidecar_settings(kernel::settings_document& document);

}  // namespace boragehill::sidecar

#endif  // BORAGEHILL_SIDECAR_SIDECAR_SETTINGS_HPP
