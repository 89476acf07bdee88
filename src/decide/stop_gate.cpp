#include "decide/stop_gate.hpp"

namespace boragehill::decide {

void stop_gate::close(time_point now, time_point until) {
  this->began = now;
  this->end = until;
}

bool stop_gate::refuses(milliseconds needs, time_point start) const {
  if (this->shut_for_good) return true;
  if (!this->began || start < *this->began + balancer_notices) return false;
  return start + needs >= this->end;
}

}  // namespace boragehill::decide
