#ifndef BORAGEHILL_WIRE_RETIRE_ORDER_HPP
#define BORAGEHILL_WIRE_RETIRE_ORDER_HPP

#include <string>

namespace boragehill::wire {

/// `agent.retire`: a home asks an agent to give a grant back. The agent ends
/// what runs, unloads, and acknowledges in `agent_report::given_up`.
struct retire_order {
  std::string model;

  bool operator==(const retire_order&) const = default;

  /// Calls `visit(name, member)` for each member, in a fixed order.
  template <class Self, class Visit>
  static void each_field(Self& self, Visit&& visit) {
    visit("model", self.model);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_RETIRE_ORDER_HPP
