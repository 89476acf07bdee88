#include "agent/engine_task.hpp"

#include <boragehill/backend.hpp>

#include "agent/brain_link.hpp"

namespace boragehill::agent {

namespace {

struct task_runner {
  backend& engine;
  const brain_link& brain;

  void operator()(const decide::send_order& task) const {
    const auto done = this->engine.carry_out(task.order);
    const std::error_code error = done ? std::error_code{} : done.error();
    this->brain.tell_surely(order_answered{task.order, error});
  }

  void operator()(const decide::read_engine_state&) const {
    auto state = this->engine.state();
    if (!state) return this->brain.tell_surely(engine_lost{});
    this->brain.tell_surely(engine_state_read{std::move(state).value()});
  }
};

}  // namespace

void carry_out(const engine_task& task, backend& engine,
               const brain_link& brain) {
  std::visit(task_runner{engine, brain}, task);
}

}  // namespace boragehill::agent
