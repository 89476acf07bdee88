#ifndef BORAGEHILL_SOAK_FAULT_KIND_HPP
#define BORAGEHILL_SOAK_FAULT_KIND_HPP

namespace boragehill::soak {

/// What the soak does to the fleet from outside.
enum class fault_kind {
  router_kill,
  router_stop,
  router_pause,
  router_hangup,
  agent_kill,
  agent_stop,
  agent_pause,
  worker_replace,
  plain_replace,
  store_link,
  worker_link,
  store_down,
  store_slow,
  store_answers_lost,
  configuration,
  store_silent,
  worker_restart,
  foreign_entry,
  worker_pause,
  plain_leaves,
  plain_rests,
  store_thin,
  plain_limited,
  worker_cuts,
  plain_fails,
  all_routers_kill
};

constexpr int fault_kinds = 26;

/// \return The kind's name, for the log.
const char* name_of(fault_kind kind);

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_FAULT_KIND_HPP
