#ifndef BORAGEHILL_DECIDE_PLACEMENT_WAKE_HPP
#define BORAGEHILL_DECIDE_PLACEMENT_WAKE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

#include "wire/replica_state.hpp"

namespace boragehill::decide {

/// A granted server as waking one model sees it.
struct wake_view {
  std::string server;
  wire::replica_state state = wire::replica_state::cold;
  checkpoint_tier tier = checkpoint_tier::remote;
  std::uint64_t free_bytes = 0;
  /// Held by idle replicas that the wake may evict.
  std::uint64_t evictable_bytes = 0;
  /// Expected time to ready; set while loading.
  milliseconds ready_in{0};
  /// Requests running there, over all models.
  std::uint32_t running = 0;
  /// False if it is draining, suspected or its engine is down.
  bool usable = true;

  bool operator==(const wake_view&) const = default;
};

/// Which granted server should load a model.
struct wake_request {
  std::string model;
  std::uint64_t bytes = 0;
  std::vector<wake_view> servers;

  bool operator==(const wake_request&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLACEMENT_WAKE_HPP
