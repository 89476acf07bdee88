#ifndef BORAGEHILL_ENGINE_STATE_HPP
#define BORAGEHILL_ENGINE_STATE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/engine_model.hpp>

namespace boragehill {

/// An engine's own account of itself, read when an agent starts and whenever
/// an order's answer was lost.
struct engine_state {
  /// Changes when the engine process restarts and so holds nothing.
  std::string incarnation;
  std::uint64_t capacity_bytes = 0;
  /// Requests that may run at once, over all models.
  std::uint32_t slots = 0;
  std::vector<engine_model> models;
  /// Checkpoints nearer than `remote`.
  std::map<std::string, checkpoint_tier> cached;
  /// Requests running now, over all models.
  std::uint32_t running = 0;

  bool operator==(const engine_state&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_ENGINE_STATE_HPP
