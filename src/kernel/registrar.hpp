#ifndef BORAGEHILL_KERNEL_REGISTRAR_HPP
#define BORAGEHILL_KERNEL_REGISTRAR_HPP

#include <string>
#include <utility>

#include "kernel/registry.hpp"

namespace boragehill::kernel {

/// Adds a plug-in to its registry when constructed; each plug-in's source
/// holds one at namespace scope.
///
///     const registrar<table_service> http_table("http", make_http_table);
template <class Interface>
class registrar {
 public:
  /// \param name The name that the settings use.
  /// \param make Makes the plug-in from its settings.
  registrar(std::string name, typename registry<Interface>::factory make) {
    registry<Interface>::instance().add(std::move(name), std::move(make));
  }
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_REGISTRAR_HPP
