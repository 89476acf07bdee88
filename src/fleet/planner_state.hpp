#ifndef BORAGEHILL_FLEET_PLANNER_STATE_HPP
#define BORAGEHILL_FLEET_PLANNER_STATE_HPP

#include "fleet/planner_row.hpp"
#include "fleet/quarantine_row.hpp"

namespace boragehill::fleet {

/// What the store holds of the planner: who it is, and what outlives it.
struct planner_state {
  planner_row planner;
  quarantine_row quarantine;

  bool operator==(const planner_state&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_PLANNER_STATE_HPP
