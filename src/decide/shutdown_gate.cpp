#include "decide/shutdown_gate.hpp"

namespace boragehill::decide {

void shutdown_gate::begin_shutdown(time_point now, time_point until) {
  this->shutdown_start = now;
  this->shutdown_end = until;
}

bool shutdown_gate::rejects(milliseconds needs, time_point start) const {
  if (this->is_rejecting_all) return true;
  if (!this->shutdown_start ||
      start < *this->shutdown_start + balancer_removal_time)
    return false;
  return start + needs >= this->shutdown_end;
}

}  // namespace boragehill::decide
