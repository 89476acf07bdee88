#ifndef BORAGEHILL_WIRE_AGENT_REPORT_HPP
#define BORAGEHILL_WIRE_AGENT_REPORT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

#include "wire/replica_report.hpp"

namespace boragehill::wire {

/// `home.report`: an agent tells a home of its load and of the models that the
/// home looks after.
struct agent_report {
  std::string server;
  /// The agent's fencing number; 0 until the table gave it one.
  std::uint64_t fence = 0;
  /// This process of the agent, for permits; 0 takes the fence for it.
  std::uint64_t incarnation = 0;
  /// The agent's monotonic clock when the report was made.
  std::int64_t now_ms = 0;
  endpoint control;
  endpoint data;
  std::string failure_domain;
  std::string region;
  std::string pool;
  /// False beside a plain service.
  bool model_server = true;
  std::uint64_t capacity_bytes = 0;
  /// Neither reserved nor evictable-only; may be used at once.
  std::uint64_t free_bytes = 0;
  /// Held by idle replicas that a wake may evict.
  std::uint64_t evictable_bytes = 0;
  /// Requests that may run at once.
  std::uint32_t slots = 0;
  /// Requests running now.
  std::uint32_t running = 0;
  bool draining = false;
  /// False while the engine or service does not answer.
  bool backend_up = true;
  /// Granted models whose home is asked, in any state.
  std::vector<replica_report> replicas;
  /// Checkpoints nearer than remote, as `checkpoint_tier` numbers.
  std::map<std::string, std::int32_t> cached;
  /// Models whose grant, of this serial, the agent gives back: unloaded, and
  /// not to be loaded again before the row was read anew.
  std::map<std::string, std::uint64_t> given_up;

  bool operator==(const agent_report&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("server", self.server);
    visit("fence", self.fence);
    visit("incarnation", self.incarnation);
    visit("now_ms", self.now_ms);
    visit("control", self.control);
    visit("data", self.data);
    visit("failure_domain", self.failure_domain);
    visit("region", self.region);
    visit("pool", self.pool);
    visit("model_server", self.model_server);
    visit("capacity_bytes", self.capacity_bytes);
    visit("free_bytes", self.free_bytes);
    visit("evictable_bytes", self.evictable_bytes);
    visit("slots", self.slots);
    visit("running", self.running);
    visit("draining", self.draining);
    visit("backend_up", self.backend_up);
    visit("replicas", self.replicas);
    visit("cached", self.cached);
    visit("given_up", self.given_up);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_AGENT_REPORT_HPP
