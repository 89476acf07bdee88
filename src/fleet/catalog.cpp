#include "fleet/catalog.hpp"

namespace boragehill::fleet {

const route* catalog::find_route(std::string_view host,
                                 std::string_view path) const {
  const route* best = nullptr;
  for (const auto& each : this->routes) {
    if (each.host != host || !path.starts_with(each.prefix)) continue;
    if (!best || each.prefix.size() > best->prefix.size()) best = &each;
  }
  return best;
}

const service* catalog::find_service(std::string_view name) const {
  for (const auto& each : this->services) {
    if (each.name == name) return &each;
  }
  return nullptr;
}

}  // namespace boragehill::fleet
