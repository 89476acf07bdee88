#ifndef BORAGEHILL_SERVE_NODE_SETTINGS_HPP
#define BORAGEHILL_SERVE_NODE_SETTINGS_HPP

#include <cstdint>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::kernel {
class settings_document;
}

namespace boragehill::serve {

/// What routers and agents on the platform's store have in common.
struct node_settings {
  std::string id;
  /// Where the other processes of ours reach this one.
  std::string address;
  /// The planner's port, and the agents'; metrics are on the next one.
  std::uint16_t link_port = 0;
  /// The plug-in that speaks the store's protocol, and the store's address.
  std::string store_plugin;
  endpoint store;
  /// How long one poll of the store's feeds waits. One that a silent store
  /// swallowed is asked again half a second later, so a change that is
  /// confirmed at the store's return is known 1.6 s later at most; 2 s are
  /// allowed.
  milliseconds feed_wait{1000};

  bool operator==(const node_settings&) const = default;

  endpoint link_address() const { return {this->address, this->link_port}; }
  endpoint metrics_address() const {
    return {this->address, static_cast<std::uint16_t>(this->link_port + 1)};
  }
};

/// Reads the [process] and [store] settings; problems are left in the document.
/// \param settings Its `feed_wait` is the default.
void read_node_settings(kernel::settings_document& document,
                        node_settings& settings);

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_NODE_SETTINGS_HPP
