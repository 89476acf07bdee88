#ifndef BORAGEHILL_DECIDE_LOAD_PLACEMENT_REQUEST_HPP
#define BORAGEHILL_DECIDE_LOAD_PLACEMENT_REQUEST_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

#include "wire/replica_state.hpp"

namespace boragehill::decide {

/// A granted server as a candidate for loading one model.
struct load_candidate {
  std::string server;
  wire::replica_state state = wire::replica_state::cold;
  checkpoint_tier tier = checkpoint_tier::remote;
  std::uint64_t free_bytes = 0;
  /// Memory of idle replicas that the load may evict.
  std::uint64_t evictable_bytes = 0;
  /// Expected time until the replica is ready; set while it loads.
  milliseconds ready_in{0};
  /// Number of requests running there, for all models.
  std::uint32_t running = 0;
  /// False if it is draining or suspected, or if its engine is down.
  bool usable = true;

  bool operator==(const load_candidate&) const = default;
};

/// Input of `choose_load_server`: a model and its granted servers.
struct load_placement_request {
  std::string model;
  std::uint64_t bytes = 0;
  std::vector<load_candidate> candidates;

  bool operator==(const load_placement_request&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_LOAD_PLACEMENT_REQUEST_HPP
