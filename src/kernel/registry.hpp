#ifndef BORAGEHILL_KERNEL_REGISTRY_HPP
#define BORAGEHILL_KERNEL_REGISTRY_HPP

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boragehill/result.hpp>
#include <boragehill/result_code.hpp>

#include "kernel/plugin_settings.hpp"

namespace boragehill::kernel {

/// The plug-ins of one interface by name. Thread safe.
///
///     auto table = registry<table_service>::instance().make("http", settings);
template <class Interface>
class registry {
 public:
  using factory =
      std::function<std::unique_ptr<Interface>(const plugin_settings&)>;

  /// \return The one registry of this interface in the process.
  static registry& instance() {
    static registry only;
    return only;
  }

  /// Adds a plug-in; a later one of the same name replaces the earlier.
  void add(std::string name, factory make) {
    const std::lock_guard lock(this->mutex);
    this->factories.insert_or_assign(std::move(name), std::move(make));
  }

  /// Makes a plug-in.
  /// \return The plug-in, or `unknown_plugin`.
  result<std::unique_ptr<Interface>> make(
      const std::string& name, const plugin_settings& settings) const {
    const factory found = this->find(name);
    if (!found) return result_code::unknown_plugin;
    return found(settings);
  }

  /// \return The names of all plug-ins, sorted.
  std::vector<std::string> names() const {
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> all;
    for (const auto& [name, make] : this->factories) all.push_back(name);
    return all;
  }

 private:
  factory find(const std::string& name) const {
    const std::lock_guard lock(this->mutex);
    const auto found = this->factories.find(name);
    return found == this->factories.end() ? factory() : found->second;
  }

  mutable std::mutex mutex;
  std::map<std::string, factory> factories;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_REGISTRY_HPP
