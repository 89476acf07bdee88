#ifndef BORAGEHILL_FLEET_CATALOG_HPP
#define BORAGEHILL_FLEET_CATALOG_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/account_directory.hpp"
#include "fleet/caller_limits.hpp"
#include "fleet/route.hpp"
#include "fleet/service.hpp"

namespace boragehill::fleet {

/// The operator's configuration of one version, whole. Immutable once read.
struct catalog {
  std::int64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  caller_limits limits;
  /// Empty if callers need no key.
  account_directory accounts;

  bool operator==(const catalog&) const = default;

  /// Finds the route of a request: among the routes of the host, the one with
  /// the longest prefix that begins the path.
  /// \param host Without port, in lower case.
  /// \return The route, or null.
  const route* find_route(std::string_view host, std::string_view path) const;

  /// \return The service of that name, or null.
  const service* find_service(std::string_view name) const;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_CATALOG_HPP
