#include "decide/placement_choice.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

#include "decide/rendezvous.hpp"

namespace boragehill::decide {

namespace {

/// Numbers of the model's grants by failure domain and region. The domain key
/// includes the region, since two regions may use the same domain names.
struct grant_counts {
  std::map<std::pair<std::string, std::string>, std::uint32_t> by_domain;
  std::map<std::string, std::uint32_t> by_region;

  void add(const placement_server& server) {
    this->by_domain[{server.region, server.failure_domain}] += 1;
    this->by_region[server.region] += 1;
  }
};

bool holds_grant(const placement_request& request, const std::string& id) {
  return std::ranges::find(request.granted_servers, id) !=
         request.granted_servers.end();
}

bool can_take_grant(const placement_request& request,
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
auto grant_rank(const placement_server& server, const grant_counts& counts,
                const std::string& model) {
  const auto domain =
      counts.by_domain.find({server.region, server.failure_domain});
  const auto region = counts.by_region.find(server.region);
  const bool new_domain = domain == counts.by_domain.end();
  const bool new_region = region == counts.by_region.end();
  return std::tuple{new_domain ? 0U : domain->second,
                    new_region ? 0U : region->second,
                    server.tier,
                    granted_share(server),
                    ~rendezvous_weight(server.id, model),
                    server.id};
}

std::uint32_t grants_to_add(const placement_request& request,
                            std::uint32_t usable) {
  const auto total = static_cast<std::uint32_t>(request.granted_servers.size());
  if (usable >= request.wanted_grants || total >= request.max_grants) return 0;
  return std::min(request.wanted_grants - usable, request.max_grants - total);
}

auto load_rank(const load_candidate& candidate,
               const load_placement_request& request) {
  const bool fits_free = candidate.free_bytes >= request.bytes;
  const bool has_room =
      candidate.free_bytes + candidate.evictable_bytes >= request.bytes;
  const std::uint64_t tie_breaker =
      ~rendezvous_weight(candidate.server, request.model);
  switch (candidate.state) {
    case wire::replica_state::ready:
      return std::tuple{0, std::int64_t{0}, 0, candidate.running, tie_breaker};
    case wire::replica_state::loading:
      return std::tuple{1, std::int64_t{candidate.ready_in.count()}, 0,
                        candidate.running, tie_breaker};
    case wire::replica_state::cold:
    case wire::replica_state::unloading:
      break;
  }
  return std::tuple{has_room ? 2 : 3, static_cast<std::int64_t>(candidate.tier),
                    fits_free ? 0 : 1, candidate.running, tie_breaker};
}

}  // namespace

std::vector<std::string> choose_grant_servers(
    const placement_request& request) {
  std::vector<const placement_server*> candidates;
  grant_counts counts;
  std::uint32_t usable = 0;
  for (const placement_server& server : request.servers) {
    const bool granted = holds_grant(request, server.id);
    if (granted) counts.add(server);
    if (!can_take_grant(request, server)) continue;
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
          return grant_rank(*server, counts, request.model);
        });
    counts.add(**best);
    chosen.push_back((*best)->id);
    candidates.erase(best);
  }
  return chosen;
}

std::optional<std::string> choose_load_server(
    const load_placement_request& request) {
  const load_candidate* best = nullptr;
  for (const load_candidate& candidate : request.candidates) {
    if (!candidate.usable) continue;
    const bool better = best == nullptr || load_rank(candidate, request) <
                                               load_rank(*best, request);
    if (better) best = &candidate;
  }
  if (best == nullptr) return std::nullopt;
  return best->server;
}

}  // namespace boragehill::decide
