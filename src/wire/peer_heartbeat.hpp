#ifndef BORAGEHILL_WIRE_PEER_HEARTBEAT_HPP
#define BORAGEHILL_WIRE_PEER_HEARTBEAT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

namespace boragehill::wire {

/// `peer.heartbeat`: routers tell each other that they live and which revision
/// they have in force; the answer is the other's own heartbeat.
struct peer_heartbeat {
  std::string router;
  std::string incarnation;
  endpoint control;
  std::string region;
  /// The revision in force at the sender.
  std::uint64_t revision = 0;
  /// Milliseconds since the sender confirmed its revision with the table, or
  /// with a peer that had; negative: never.
  std::int64_t confirmed_ms = -1;
  bool draining = false;
  /// Fingerprints of requests lately convicted of crashing servers.
  std::vector<std::string> convictions;

  bool operator==(const peer_heartbeat&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("router", self.router);
    visit("incarnation", self.incarnation);
    visit("control", self.control);
    visit("region", self.region);
    visit("revision", self.revision);
    visit("confirmed_ms", self.confirmed_ms);
    visit("draining", self.draining);
    visit("convictions", self.convictions);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_PEER_HEARTBEAT_HPP
