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

/// A backend server as a home knows it: the last report and what was seen
/// since.
class home_server {
 public:
  /// Takes a report in; one from an older incarnation of the agent, or one
  /// that was overtaken on the way, is dropped.
  ///
  /// \param own_in_flight Permits of this home that are out for the server.
  /// \return Whether it was taken.
  bool take(const wire::agent_report& report, std::uint32_t own_in_flight,
            time_point now) {
    const bool numbered = report.fence != 0;
    if (numbered && report.fence < this->last.fence) return false;
    // A restart while the table is down has no number yet. One VM's clock goes
    // on through restarts of its agent, so that tells it from an older report;
    // only a reboot brings both a later number and an earlier clock.
    const bool later = report.now_ms >= this->last.now_ms;
    if (!later && report.fence <= this->last.fence) return false;
    this->last = report;
    this->received_at = now;
    this->others = report.running - std::min(report.running, own_in_flight);
    return true;
  }

  /// Returns how many requests ran there for others when it last reported.
  std::uint32_t others_running() const { return this->others; }

  const wire::agent_report& report() const { return this->last; }

  /// Returns the agent's clock at `now`, from the last report.
  std::int64_t agent_clock(time_point now) const {
    const auto since =
        std::chrono::duration_cast<milliseconds>(now - this->received_at);
    return this->last.now_ms + since.count();
  }

  /// Returns whether it may get new work: heard of lately, not leaving, its
  /// engine up, and not left alone after a failure.
  bool usable(time_point now, milliseconds silence) const {
    if (this->leaving || this->last.draining) return false;
    if (!this->last.backend_up) return false;
    if (now < this->cooldown_until) return false;
    return now - this->received_at <= silence;
  }

  /// Returns whether it was heard of lately, whatever it said.
  bool heard(time_point now, milliseconds silence) const {
    return now - this->received_at <= silence;
  }

  void leave_alone_until(time_point when) { this->cooldown_until = when; }
  void set_leaving() { this->leaving = true; }

  /// Returns what the last report says of a model; null if nothing.
  const wire::replica_report* replica(const std::string& model) const {
    const auto& all = this->last.replicas;
    const auto found = std::find_if(
        all.begin(), all.end(), [&](const auto& r) { return r.name == model; });
    return found == all.end() ? nullptr : &*found;
  }

  /// Returns where the server would load a checkpoint from.
  checkpoint_tier tier(const std::string& model) const {
    const auto found = this->last.cached.find(model);
    if (found == this->last.cached.end()) return checkpoint_tier::remote;
    if (found->second == 0) return checkpoint_tier::memory;
    if (found->second == 1) return checkpoint_tier::disk;
    return checkpoint_tier::remote;
  }

 private:
  wire::agent_report last;
  time_point received_at;
  time_point cooldown_until;
  std::uint32_t others = 0;
  bool leaving = false;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HOME_SERVER_HPP
