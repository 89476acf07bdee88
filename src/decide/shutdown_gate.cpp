#include "decide/shutdown_gate.hpp"

namespace boragehill::decide {

void shutdown_gate::begin_shutdown(time_point now, time_point process_end) {
  this->shutdown_start = now;
  this->shutdown_end = process_end;
}

bool shutdown_gate::rejects(milliseconds response_time,
                            time_point start) const {
  if (this->is_rejecting_all) return true;
  if (!this->shutdown_start ||
      start < *this->shutdown_start + balancer_removal_time) {
    return false;
  }
  return start + response_time >= this->shutdown_end;
}

}  // namespace boragehill::decide
