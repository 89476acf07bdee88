#ifndef BORAGEHILL_BENCH_FLEET_FIXTURE_HPP
#define BORAGEHILL_BENCH_FLEET_FIXTURE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>
#include <boragehill/vm_info.hpp>

#include "decide/catalog.hpp"
#include "decide/home.hpp"
#include "decide/placement_request.hpp"
#include "wire/agent_report.hpp"
#include "wire/permit_request.hpp"

namespace boragehill::bench {

/// A fleet's size; the defaults are the plan for two years.
struct fleet_size {
  std::size_t models = 390;
  std::size_t adapters = 5500;
  std::size_t servers = 600;
  std::size_t routers = 340;

  /// Returns this size in quarters: 4 is the whole.
  fleet_size quarters(std::size_t count) const {
    return {this->models * count / 4, this->adapters * count / 4,
            this->servers * count / 4, this->routers * count / 4};
  }

  bool operator==(const fleet_size&) const = default;
};

/// Grants of one model, one in each failure domain of a region.
inline constexpr std::size_t grants_per_model = 3;

/// Granted models that one agent reports at the two-year size.
inline constexpr std::size_t replicas_per_report = 3;

std::string model_name(std::size_t number);
std::string server_name(std::size_t number);
std::string router_name(std::size_t number);

/// Returns a time on the virtual clock; 0 is past every cooldown.
time_point at(milliseconds since_start);

/// Returns one published catalog with all models and adapters.
decide::catalog make_catalog(const fleet_size& size);

/// Returns the platform's list: routers and servers in 2 regions with 3
/// failure domains each.
std::vector<vm_info> make_vms(const fleet_size& size);

/// Returns a report of a server with some models ready.
wire::agent_report make_report(std::size_t server,
                               const std::vector<std::string>& models,
                               milliseconds now);

/// Returns a request for a model's permit; `number` makes it unique.
wire::permit_request make_ask(std::size_t model, std::uint64_t number);

/// Returns a placement of one model over all servers.
decide::placement_request make_placement(const fleet_size& size);

/// Returns a home that looks after the first `homed` models, each ready on
/// `grants_per_model` servers that have just reported.
decide::home make_home(const fleet_size& size, std::size_t homed);

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_FLEET_FIXTURE_HPP
