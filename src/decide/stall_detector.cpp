#include "decide/stall_detector.hpp"

#include <algorithm>
#include <utility>

#include "decide/port_closing_time.hpp"

namespace boragehill::decide {

namespace {

/// A live server responds to a probe within some milliseconds.
constexpr milliseconds probe_timeout{150};
constexpr milliseconds probe_interval{200};
/// Time that a server has after a successful probe to make progress again.
constexpr milliseconds grace_period{300};
/// A server that responds to probes but not to requests is probed at growing
/// intervals, up to 200 ms * 2^4, so that it is in use for a tenth of the time.
constexpr int max_doublings = 4;

}  // namespace

stall_detector::transition stall_detector::update(time_point now) {
  if (this->suspected_since) {
    if (this->progress.last_data_time() <= *this->suspected_since) {
      return transition::none;
    }
    this->probes_without_progress = 0;
    this->clear_suspicion();
    return transition::recovered;
  }
  if (now < this->trusted_until || !this->progress.is_stalled(now)) {
    return transition::none;
  }
  this->suspected_since = now;
  this->next_probe = now;
  if (this->probes_without_progress > 0) {
    const int doublings =
        std::min(this->probes_without_progress - 1, max_doublings);
    this->next_probe += probe_interval * (1 << doublings);
  }
  return transition::suspected;
}

bool stall_detector::is_confirmed(time_point now) const {
  return this->suspected_since && now - *this->suspected_since >= probe_timeout;
}

bool stall_detector::on_interrupted(time_point now) {
  this->next_probe = now;
  this->probe_outdated = this->probe_in_flight;
  return !std::exchange(this->interrupted_at, now);
}

bool stall_detector::expire_interruption(time_point now) {
  const bool expired = this->interrupted_at &&
                       now - *this->interrupted_at >= max_port_closing_time;
  if (expired) this->interrupted_at.reset();
  return expired;
}

bool stall_detector::on_connection_refused() {
  return std::exchange(this->interrupted_at, std::nullopt).has_value();
}

bool stall_detector::on_probe_ended(bool responded, time_point now) {
  this->probe_in_flight = false;
  const bool outdated = std::exchange(this->probe_outdated, false);
  this->next_probe = outdated ? now : now + probe_interval;
  this->probe_failed = !responded && this->suspected_since;
  if (!responded) return false;
  const bool was_interrupted = this->is_interrupted() && !outdated;
  if (was_interrupted) this->interrupted_at.reset();
  return this->end_suspicion(now) || was_interrupted;
}

bool stall_detector::end_suspicion(time_point now) {
  if (!this->suspected_since) return false;
  ++this->probes_without_progress;
  this->trusted_until = now + grace_period;
  this->clear_suspicion();
  return true;
}

}  // namespace boragehill::decide
