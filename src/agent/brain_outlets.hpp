#ifndef BORAGEHILL_AGENT_BRAIN_OUTLETS_HPP
#define BORAGEHILL_AGENT_BRAIN_OUTLETS_HPP

#include <functional>

#include "decide/residency_action.hpp"

namespace boragehill::agent {

/// How the brain reaches the other duties; none of these may block.
struct brain_outlets {
  /// Send the order to the engine.
  std::function<void(const decide::send_order&)> order;
  /// Read the engine's state.
  std::function<void()> read_state;
  /// Read the own row.
  std::function<void()> read_grants;
  /// Tell the homes at once.
  std::function<void()> report;
  /// A later start of this agent took over.
  std::function<void()> overtaken;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_BRAIN_OUTLETS_HPP
