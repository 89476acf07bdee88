#include "decide/software_history.hpp"

#include "fleet/server_list.hpp"

namespace boragehill::decide {

void software_history::on_listed(const fleet::server_list& list,
                                 time_point now) {
  if (!this->begin) this->begin = now;
  for (auto& [service, versions] : this->services) {
    for (auto& [software, found] : versions) {
      // It was listed until now.
      if (found.is_listed) found = {.is_listed = false, .last = now};
    }
  }
  for (const auto& [id, server] : list.servers) {
    this->services[server.service][server.software] = {.is_listed = true,
                                                       .last = now};
  }
}

std::optional<std::string> software_history::sole_version(
    const std::string& service, time_point since) const {
  const auto versions = this->services.find(service);
  if (versions == this->services.end()) return std::nullopt;
  std::optional<std::string> sole;
  for (const auto& [software, found] : versions->second) {
    if (!found.is_listed && found.last < since) continue;
    if (sole) return std::nullopt;
    sole = software;
  }
  return sole;
}

}  // namespace boragehill::decide
