#ifndef BORAGEHILL_DECIDE_STALL_DETECTOR_HPP
#define BORAGEHILL_DECIDE_STALL_DETECTOR_HPP

#include <optional>

#include <boragehill/time_point.hpp>

#include "decide/response_progress.hpp"

namespace boragehill::decide {

/// Suspects a backend server whose responses have stalled, until it sends data
/// again or responds to a probe, and one whose response broke off, until it
/// responds to a probe.
///
/// A suspected server gets no new requests, so when it resumes it runs only the
/// abandoned requests of the last tenths of a second before the suspicion. The
/// suspicion is checked by a probe: a false one, of a worker that processes a
/// long prompt, is cleared by the probe's response within milliseconds.
class stall_detector {
 public:
  /// Change of state by `update`.
  enum class transition { none, suspected, recovered };

  response_progress& responses() { return this->progress; }
  const response_progress& responses() const { return this->progress; }

  /// Re-evaluates the suspicion from the progress of the responses.
  transition update(time_point now);

  bool is_suspected() const { return this->suspected_since.has_value(); }

  /// \return True if the suspicion has lasted long enough to be reported to
  ///     other processes.
  bool is_confirmed(time_point now) const;

  /// \return True if the server is suspected and the last probe failed.
  bool is_unresponsive() const {
    return this->is_suspected() && this->probe_failed;
  }

  /// A response broke off. The server may be gone, though its port may accept
  /// connections for a moment longer and reset them afterwards.
  /// \return True if the server was not interrupted before.
  bool on_interrupted(time_point now);

  /// \return True if a response broke off, and the server has neither responded
  ///     to a probe since, nor refused a connection, nor had the time to close
  ///     its port. What is sent to it now may be lost.
  bool is_interrupted() const { return this->interrupted_at.has_value(); }

  /// Ends an interruption after the time in which the port of a process that
  /// was killed is closed.
  /// \return True if this ended one.
  bool expire_interruption(time_point now);

  /// The server refused a connection: its port is closed, and nothing that is
  /// sent to it can be lost there.
  /// \return True if this ended an interruption.
  bool on_connection_refused();

  /// \return True if a probe should be sent now.
  bool is_probe_due(time_point now) const {
    return (this->is_suspected() || this->is_interrupted()) &&
           !this->probe_in_flight && now >= this->next_probe;
  }

  void on_probe_sent() { this->probe_in_flight = true; }

  /// Records the result of a probe.
  /// \param responded True for a response with any status; false for a timeout.
  /// \return True if this cleared a suspicion, or showed that a server is alive
  ///     whose response broke off.
  bool on_probe_ended(bool responded, time_point now);

  /// Clears a suspicion of a server that can't be probed, so that a request
  /// shows whether it responds.
  /// \return True if the server was suspected.
  bool on_probe_impossible(time_point now) { return this->end_suspicion(now); }

  /// Excludes a pause of the router itself: data that the server sent meanwhile
  /// may not have been read yet.
  /// \param pause_end End of the pause.
  void ignore_local_pause(time_point pause_end) {
    this->progress.ignore_local_pause(pause_end);
    this->probe_failed = false;
  }

  /// Drops a probe without a result, because its response may have been missed.
  void on_probe_discarded() {
    this->probe_in_flight = false;
    this->probe_outdated = false;
  }

 private:
  /// Ends a suspicion without new data from the server.
  /// \return True if there was one.
  bool end_suspicion(time_point now);

  void clear_suspicion() {
    this->suspected_since.reset();
    this->probe_failed = false;
  }

  response_progress progress;
  std::optional<time_point> suspected_since;
  /// When a response broke off last.
  std::optional<time_point> interrupted_at;
  bool probe_in_flight = false;
  /// A response broke off after the probe in flight was sent.
  bool probe_outdated = false;
  /// The last probe during the current suspicion failed.
  bool probe_failed = false;
  time_point next_probe;
  /// Successful probes since the last data of a response: the server is alive
  /// but does not respond to requests.
  int probes_without_progress = 0;
  /// No new suspicion is raised before this time.
  time_point trusted_until;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STALL_DETECTOR_HPP
