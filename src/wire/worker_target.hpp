#ifndef BORAGEHILL_WIRE_WORKER_TARGET_HPP
#define BORAGEHILL_WIRE_WORKER_TARGET_HPP

#include <cstdint>
#include <map>
#include <string>

#include "decide/residency_target.hpp"
#include "decide/stream_origin.hpp"

namespace boragehill::wire {

/// From the planner to an agent: what its worker should hold.
struct worker_target {
  /// The planner's term; an agent ignores a lower one than it has seen.
  std::int64_t term = 0;
  /// The lifetime of the worker that is meant.
  std::string server;
  /// When that lifetime started, as it says itself; 0 if it doesn't.
  std::int64_t born = 0;
  std::string service;
  decide::residency_target target;
  /// Streams that the agent is to keep for the next planner, beside those that
  /// it was told before.
  std::map<std::string, decide::stream_origin> streams;

  bool operator==(const worker_target&) const = default;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_WORKER_TARGET_HPP
