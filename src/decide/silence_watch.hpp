#ifndef BORAGEHILL_DECIDE_SILENCE_WATCH_HPP
#define BORAGEHILL_DECIDE_SILENCE_WATCH_HPP

#include <optional>

#include <boragehill/time_point.hpp>

#include "decide/answer_pulse.hpp"

namespace boragehill::decide {

/// Suspects a backend server whose responses have stalled, until it sends data
/// again or answers a probe.
///
/// A suspected server gets no new requests, so when it resumes it runs at most
/// the requests of the last tenths of a second for nobody. The suspicion is
/// checked by a probe to the server: a false one, of a worker that processes a
/// long prompt, is cleared by the probe's response within milliseconds.
class silence_watch {
 public:
  /// Change of state by `update`.
  enum class news { none, doubted, heard };

  answer_pulse& answers() { return this->pulse; }
  const answer_pulse& answers() const { return this->pulse; }

  /// Re-evaluates the suspicion from the progress of the responses.
  news judge(time_point now);

  bool doubted() const { return this->since.has_value(); }

  /// \return True if the suspicion has lasted long enough to be reported to
  ///     other processes.
  bool confirmed(time_point now) const;

  /// \return True if the server is suspected and the last probe failed.
  bool unanswering() const { return this->doubted() && this->question_failed; }

  /// \return True if a probe should be sent now.
  bool question_due(time_point now) const {
    return this->doubted() && !this->asking && now >= this->next_question;
  }

  void on_asked() { this->asking = true; }

  /// Records the result of a probe.
  /// \param answered True for a response with any status; false for a timeout.
  /// \return True if this cleared a suspicion.
  bool on_question_ended(bool answered, time_point now);

  /// Excludes a pause of the router itself: data that the server sent meanwhile
  /// may not have been read yet.
  /// \param until End of the pause.
  void excuse(time_point until) {
    this->pulse.excuse(until);
    this->question_failed = false;
  }

  /// Drops a probe without a result, because its response may have been missed.
  void on_question_missed() { this->asking = false; }

 private:
  void end_doubt() {
    this->since.reset();
    this->question_failed = false;
  }

  answer_pulse pulse;
  std::optional<time_point> since;
  bool asking = false;
  /// The last probe during the current suspicion failed.
  bool question_failed = false;
  time_point next_question;
  /// Successful probes since the last data of a response: the server is alive
  /// but does not respond to requests.
  int hollow_answers = 0;
  /// No new suspicion is raised before this time.
  time_point trusted_until;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SILENCE_WATCH_HPP
