#ifndef BORAGEHILL_SIDECAR_SIDECAR_SETTINGS_HPP
#define BORAGEHILL_SIDECAR_SIDECAR_SETTINGS_HPP

#include <cstdint>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::kernel {
class settings_document;
}

namespace boragehill::sidecar {

/// The settings of an agent on the platform's store.
struct sidecar_settings {
  std::string id;
  /// Where the planner reaches this process.
  std::string address;
  std::uint16_t link_port = 0;
  std::string store_plugin;
  endpoint store;
  /// How long one poll of the store's feed waits. The agent needs only the
  /// sizes of models from it, so it may be long.
  milliseconds feed_wait{20000};
  /// The plug-in that speaks the worker's protocol, and the worker's address.
  std::string worker_plugin;
  endpoint worker;
  /// The service that the worker belongs to.
  std::string service;

  bool operator==(const sidecar_settings&) const = default;

  endpoint link_address() const { return {this->address, this->link_port}; }
  endpoint metrics_address() const {
    return {this->address, static_cast<std::uint16_t>(this->link_port + 1)};
  }
};

/// Reads an agent's settings; problems are left in the document.
sidecar_settings read_sidecar_settings(kernel::settings_document& document);

}  // namespace boragehill::sidecar

#endif  // BORAGEHILL_SIDECAR_SIDECAR_SETTINGS_HPP
