#include "decide/placement_choice.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

#include "decide/rendezvous.hpp"

namespace boragehill::decide {

namespace {

/// Counts the model's grants by failure domain and region. The domain key
/// includes the region, since two regions may use the same domain names.
struct spread {
  std::map<std::pair<std::string, std::string>, std::uint32_t> domains;
  std::map<std::string, std::uint32_t> regions;

  void add(const placement_server& server) {
    this->domains[{server.region, server.failure_domain}] += 1;
    this->regions[server.region] += 1;
  }
};

bool holds_grant(const placement_request& request, const std::string& id) {
  return std::ranges::find(request.granted_servers, id) !=
         request.granted_servers.end();
}

bool takes_grants(const placement_request& request,
                  const placement_server& server) {
  if (server.draining || server.suspected) return false;
  if (!request.pool.empty() && server.pool != request.pool) return false;
  return server.capacity_bytes >= request.bytes && server.capacity_bytes > 0;
}

double granted_share(const placement_server& server) {
  return static_cast<double>(server.granted_bytes) /
         static_cast<double>(server.capacity_bytes);
}

/// Returns the rank of a candidate for a new grant; the lowest is chosen.
auto rank_of(const placement_server& server, const spread& standing,
             const std::string& model) {
  const auto domain =
      standing.domains.find({server.region, server.failure_domain});
  const auto region = standing.regions.find(server.region);
  const bool new_domain = domain == standing.domains.end();
  const bool new_region = region == standing.regions.end();
  return std::tuple{new_domain ? 0U : domain->second,
                    new_region ? 0U : region->second,
                    server.tier,
                    granted_share(server),
                    ~rendezvous_weight(server.id, model),
                    server.id};
}

std::uint32_t grants_to_add(const placement_request& request,
                            std::uint32_t usable) {
  const auto standing =
      static_cast<std::uint32_t>(request.granted_servers.size());
  if (usable >= request.wanted_grants || standing >= request.max_grants)
    return 0;
  return std::min(request.wanted_grants - usable,
                  request.max_grants - standing);
}

auto wake_rank_of(const load_candidate& view,
                  const load_placement_request& request) {
  const bool fits_free = view.free_bytes >= request.bytes;
  const bool has_room = view.free_bytes + view.evictable_bytes >= request.bytes;
  const std::uint64_t last = ~rendezvous_weight(view.server, request.model);
  switch (view.state) {
    case wire::replica_state::ready:
      return std::tuple{0, std::int64_t{0}, 0, view.running, last};
    case wire::replica_state::loading:
      return std::tuple{1, std::int64_t{view.ready_in.count()}, 0, view.running,
                        last};
    case wire::replica_state::cold:
    case wire::replica_state::unloading:
      break;
  }
  return std::tuple{has_room ? 2 : 3, static_cast<std::int64_t>(view.tier),
                    fits_free ? 0 : 1, view.running, last};
}

}  // namespace

std::vector<std::string> choose_grant_servers(
    const placement_request& request) {
  std::vector<const placement_server*> candidates;
  spread standing;
  std::uint32_t usable = 0;
  for (const placement_server& server : request.servers) {
    const bool granted = holds_grant(request, server.id);
    if (granted) standing.add(server);
    if (!takes_grants(request, server)) continue;
    if (granted) {
      usable += 1;
    } else {
      candidates.push_back(&server);
    }
  }
  std::vector<std::string> chosen;
  const std::uint32_t count = grants_to_add(request, usable);
  while (chosen.size() < count && !candidates.empty()) {
    const auto best = std::ranges::min_element(
        candidates, std::less{}, [&](const placement_server* server) {
          return rank_of(*server, standing, request.model);
        });
    standing.add(**best);
    chosen.push_back((*best)->id);
    candidates.erase(best);
  }
  return chosen;
}

std::optional<std::string> choose_load_server(
    const load_placement_request& request) {
  const load_candidate* best = nullptr;
  for (const load_candidate& view : request.candidates) {
    if (!view.usable) continue;
    const bool better = best == nullptr || wake_rank_of(view, request) <
                                               wake_rank_of(*best, request);
    if (better) best = &view;
  }
  if (best == nullptr) return std::nullopt;
  return best->server;
}

}  // namespace boragehill::decide
