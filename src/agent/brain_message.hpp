#ifndef BORAGEHILL_AGENT_BRAIN_MESSAGE_HPP
#define BORAGEHILL_AGENT_BRAIN_MESSAGE_HPP

#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <system_error>
#include <variant>

#include <boragehill/attempt_id.hpp>
#include <boragehill/engine_order.hpp>
#include <boragehill/engine_state.hpp>
#include <boragehill/server_record.hpp>
#include <boragehill/time_point.hpp>

#include "agent/attempt_target.hpp"
#include "agent/brain_view.hpp"
#include "decide/admission.hpp"
#include "decide/residency_load_request.hpp"

namespace boragehill::agent {

/// Where the brain puts its answer to one message.
template <class Answer>
using reply_to = std::shared_ptr<std::promise<Answer>>;

/// An attempt asks to run.
struct attempt_offered {
  decide::attempt_offer offer;
  attempt_target target;
  reply_to<decide::admission_decision> reply;
};

/// An admitted attempt has ended.
struct attempt_finished {
  attempt_id id;
  attempt_target target;
  bool whole = false;
  /// The engine's connection broke, so the engine may be gone.
  bool engine_suspected = false;
};

/// A question about an attempt, or the order that it shall never run.
struct attempt_asked {
  decide::attempt_offer attempt;
  bool tombstone = false;
  reply_to<decide::attempt_state> reply;
};

/// A home asks for a model.
struct wake_asked {
  decide::residency_load_request wake;
  reply_to<decide::residency_load_outcome> reply;
};

/// A home asks for a grant back.
struct retire_asked {
  std::string model;
};

/// The own row may have changed.
struct grants_hinted {};

/// The fencing number of this start stands in the table.
struct fence_taken {
  std::uint64_t fence = 0;
};

/// The own row was read.
struct grants_read {
  server_record record;
  time_point read_began{};
};

/// The backend server told its state.
struct engine_state_read {
  engine_state state;
};

/// The backend server did not tell its state.
struct engine_lost {};

/// An order's outcome is known, or known to be unknown.
struct order_answered {
  engine_order order;
  std::error_code error;
};

/// Someone wants to see the state.
struct view_asked {
  reply_to<brain_view> reply;
};

/// Admit and load nothing more.
struct drain_asked {};

/// What the other duties tell the brain.
using brain_message =
    std::variant<attempt_offered, attempt_finished, attempt_asked, wake_asked,
                 retire_asked, grants_hinted, fence_taken, grants_read,
                 engine_state_read, engine_lost, order_answered, view_asked,
                 drain_asked>;

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_BRAIN_MESSAGE_HPP
