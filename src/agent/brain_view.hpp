#ifndef BORAGEHILL_AGENT_BRAIN_VIEW_HPP
#define BORAGEHILL_AGENT_BRAIN_VIEW_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wire/replica_report.hpp"

namespace boragehill::agent {

/// The agent's state at one moment, for reports, operators and metrics.
struct brain_view {
  std::uint64_t fence = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t capacity_bytes = 0;
  std::uint64_t reserved_bytes = 0;
  std::uint64_t free_bytes = 0;
  std::uint64_t evictable_bytes = 0;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t idle_replicas = 0;
  std::uint64_t remembered = 0;
  bool draining = false;
  bool backend_up = false;
  bool order_unknown = false;
  std::vector<wire::replica_report> replicas;
  std::map<std::string, std::int32_t> cached;
  std::map<std::string, std::uint64_t> given_up;

  bool operator==(const brain_view&) const = default;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_BRAIN_VIEW_HPP
