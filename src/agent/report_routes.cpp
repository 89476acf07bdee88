#include "agent/report_routes.hpp"

#include <boragehill/vm_info.hpp>

#include "decide/rendezvous.hpp"

namespace boragehill::agent {

namespace {

constexpr std::size_t homes_told = 2;

}  // namespace

report_routes routes_of(const std::vector<std::string>& targets,
                        const std::vector<vm_info>& vms) {
  std::map<std::string, std::vector<std::string>> routers_of_region;
  std::map<std::string, endpoint> control_of;
  for (const vm_info& vm : vms) {
    if (vm.role != vm_role::router || vm.state != vm_state::live) continue;
    routers_of_region[vm.region].push_back(vm.id);
    control_of[vm.id] = vm.control;
  }
  report_routes routes;
  for (const auto& target : targets) {
    for (const auto& [region, routers] : routers_of_region) {
      for (const auto& id : decide::rank_homes(target, routers, homes_told)) {
        routes.by_router[control_of.at(id)].insert(target);
      }
    }
  }
  return routes;
}

}  // namespace boragehill::agent
