#include "decide/shutdown_gate.hpp"

namespace boragehill::decide {

void shutdown_gate::begin_shutdown(time_point now, time_point process_end) {
  this->shutdown_start = now;
  this->shutdown_end = process_end;
}

bool shutdown_gate::rejects(milliseconds response_time,
                            time_point start) const {
  if (this->is_rejecting_all) return true;
  return this->is_after_removal(start) &&
         start + response_time >= this->shutdown_end;
}

bool shutdown_gate::rejects_long_response(time_point received,
                                          time_point limit) const {
  return this->is_after_removal(received) && limit >= this->shutdown_end;
}

bool shutdown_gate::is_after_removal(time_point time) const {
  return this->shutdown_start &&
         time >= *this->shutdown_start + balancer_removal_time;
}

std::optional<milliseconds> shutdown_gate::time_left(time_point now) const {
  if (!this->shutdown_start) return std::nullopt;
  return milliseconds(ms_between(now, this->shutdown_end));
}

}  // namespace boragehill::decide
