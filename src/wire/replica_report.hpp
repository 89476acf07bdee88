#ifndef BORAGEHILL_WIRE_REPLICA_REPORT_HPP
#define BORAGEHILL_WIRE_REPLICA_REPORT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "wire/replica_state.hpp"

namespace boragehill::wire {

/// One model that a backend server holds or is loading.
struct replica_report {
  /// The base model.
  std::string name;
  replica_state state = replica_state::cold;
  /// Requests running now.
  std::uint32_t running = 0;
  /// Expected time to ready; set while loading.
  std::int64_t ready_in_ms = 0;
  /// Reserved for the model and its adapters.
  std::uint64_t bytes = 0;
  /// Adapters that are ready.
  std::vector<std::string> adapters;
  /// Adapters being loaded.
  std::vector<std::string> loading_adapters;

  bool operator==(const replica_report&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("name", self.name);
    visit("state", self.state);
    visit("running", self.running);
    visit("ready_in_ms", self.ready_in_ms);
    visit("bytes", self.bytes);
    visit("adapters", self.adapters);
    visit("loading_adapters", self.loading_adapters);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_REPLICA_REPORT_HPP
