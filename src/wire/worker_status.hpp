#ifndef BORAGEHILL_WIRE_WORKER_STATUS_HPP
#define BORAGEHILL_WIRE_WORKER_STATUS_HPP

#include <cstdint>
#include <map>
#include <string>

#include "decide/stream_origin.hpp"
#include "fleet/worker_report.hpp"

namespace boragehill::wire {

/// From an agent to the planner.
struct worker_status {
  /// The highest term that the agent has seen; a planner of a lower one has
  /// been replaced.
  std::int64_t term = 0;
  /// False if the worker doesn't answer; the report is empty then.
  bool reachable = true;
  fleet::worker_report report;
  /// All streams that it keeps; told once on each link.
  std::map<std::string, decide::stream_origin> streams;

  bool operator==(const worker_status&) const = default;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_WORKER_STATUS_HPP
