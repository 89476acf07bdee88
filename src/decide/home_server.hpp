#ifndef BORAGEHILL_DECIDE_HOME_SERVER_HPP
#define BORAGEHILL_DECIDE_HOME_SERVER_HPP

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

#include "wire/agent_report.hpp"

namespace boragehill::decide {

/// A backend server as a home knows it: its last report and the failures seen
/// since.
class home_server {
 public:
  /// Applies a report, unless it is from an older incarnation of the agent or
  /// arrived out of order.
  ///
  /// \param own_in_flight This home's permits in use on the server.
  /// \return Whether the report was applied.
  bool update(const wire::agent_report& report, std::uint32_t own_in_flight,
              time_point now) {
    const bool has_number = report.fence != 0;
    if (has_number && report.fence < this->last_report.fence) return false;
    // An agent that restarted while the table was down has no fencing number
    // yet. The VM's monotonic clock continues across agent restarts, so it
    // shows which report is newer. Only after a reboot is the clock lower, and
    // then the fencing number is higher.
    const bool is_later = report.now_ms >= this->last_report.now_ms;
    if (!is_later && report.fence <= this->last_report.fence) return false;
    this->last_report = report;
    this->received_at = now;
    this->other_running =
        report.running - std::min(report.running, own_in_flight);
    return true;
  }

  /// Returns how many requests of other homes ran there at the last report.
  std::uint32_t running_for_others() const { return this->other_running; }

  const wire::agent_report& report() const { return this->last_report; }

  /// Returns the agent's clock at `now` in ms, extrapolated from the last
  /// report.
  std::int64_t agent_clock(time_point now) const {
    const auto since =
        std::chrono::duration_cast<milliseconds>(now - this->received_at);
    return this->last_report.now_ms + since.count();
  }

  /// Returns whether it may get new requests: it reported recently, is not
  /// draining, its engine is up and it is not in a cool-down after a failure.
  bool is_usable(time_point now, milliseconds timeout) const {
    if (this->draining || this->last_report.draining) return false;
    if (!this->last_report.backend_up) return false;
    if (now < this->cooldown_until) return false;
    return now - this->received_at <= timeout;
  }

  /// Returns whether it reported recently, even if it is draining or its engine
  /// is down.
  bool has_recent_report(time_point now, milliseconds timeout) const {
    return now - this->received_at <= timeout;
  }

  void set_cooldown(time_point until) { this->cooldown_until = until; }
  void set_draining() { this->draining = true; }

  /// Returns a model's entry in the last report; null if there is none.
  const wire::replica_report* replica(const std::string& model) const {
    const auto& replicas = this->last_report.replicas;
    const auto found = std::find_if(
        replicas.begin(), replicas.end(),
        [&](const auto& replica) { return replica.name == model; });
    return found == replicas.end() ? nullptr : &*found;
  }

  /// Returns the tier that the server would load a model's checkpoint from.
  checkpoint_tier tier(const std::string& model) const {
    const auto found = this->last_report.cached.find(model);
    if (found == this->last_report.cached.end()) return checkpoint_tier::remote;
    if (found->second == 0) return checkpoint_tier::memory;
    if (found->second == 1) return checkpoint_tier::disk;
    return checkpoint_tier::remote;
  }

 private:
  wire::agent_report last_report;
  time_point received_at;
  time_point cooldown_until;
  std::uint32_t other_running = 0;
  bool draining = false;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HOME_SERVER_HPP
