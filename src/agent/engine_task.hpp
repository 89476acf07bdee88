#ifndef BORAGEHILL_AGENT_ENGINE_TASK_HPP
#define BORAGEHILL_AGENT_ENGINE_TASK_HPP

#include <variant>

#include "decide/residency_action.hpp"

namespace boragehill {
class backend;
}

namespace boragehill::agent {

class brain_link;

/// What the engine duty does, one at a time.
using engine_task = std::variant<decide::send_order, decide::read_engine_state>;

/// Carries a task out, blocking, and tells the brain what came of it.
void carry_out(const engine_task& task, backend& engine,
               const brain_link& brain);

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_ENGINE_TASK_HPP
