#ifndef BORAGEHILL_AGENT_REPORT_ROUTES_HPP
#define BORAGEHILL_AGENT_REPORT_ROUTES_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

namespace boragehill {
struct vm_info;
}

namespace boragehill::agent {

/// Which routers hear of which targets.
struct report_routes {
  /// By router's control endpoint, the targets it is a home of.
  std::map<endpoint, std::set<std::string>> by_router;

  bool operator==(const report_routes&) const = default;
};

/// Returns the routes of some targets: the first two routers in each region's
/// home order, so that a home's deputy knows the load when the home dies.
///
/// \param targets As "model:<base>" or "pool:<name>".
/// \param vms The platform's list.
report_routes routes_of(const std::vector<std::string>& targets,
                        const std::vector<vm_info>& vms);

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_REPORT_ROUTES_HPP
