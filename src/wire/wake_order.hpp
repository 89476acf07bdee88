#ifndef BORAGEHILL_WIRE_WAKE_ORDER_HPP
#define BORAGEHILL_WIRE_WAKE_ORDER_HPP

#include <cstdint>
#include <string>

namespace boragehill::wire {

/// `agent.wake`: a home asks for a granted model, and perhaps an adapter, to be
/// ready. Idempotent while the load runs.
struct wake_order {
  /// The base model.
  std::string model;
  std::string adapter;
  std::uint64_t bytes = 0;
  std::uint64_t adapter_bytes = 0;
  /// How long the replica stays loaded after its last request; negative keeps
  /// it loaded for as long as the grant stands.
  std::int64_t keep_warm_ms = 0;

  bool operator==(const wake_order&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("model", self.model);
    visit("adapter", self.adapter);
    visit("bytes", self.bytes);
    visit("adapter_bytes", self.adapter_bytes);
    visit("keep_warm_ms", self.keep_warm_ms);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_WAKE_ORDER_HPP
