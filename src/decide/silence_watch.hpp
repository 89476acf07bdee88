#ifndef BORAGEHILL_DECIDE_SILENCE_WATCH_HPP
#define BORAGEHILL_DECIDE_SILENCE_WATCH_HPP

#include <optional>

#include <boragehill/time_point.hpp>

#include "decide/answer_pulse.hpp"

namespace boragehill::decide {

/// Doubts a backend server whose answers stand still, until it is heard again.
///
/// A doubted server gets no new request. What was sent there in the tenths of a
/// second before is all that it can run in vain when it wakes. A question to
/// the server itself decides: a false doubt, of a worker that reads a long
/// prompt, ends with its answer after some milliseconds.
class silence_watch {
 public:
  /// What a judgement changed.
  enum class news { none, doubted, heard };

  answer_pulse& answers() { return this->pulse; }
  const answer_pulse& answers() const { return this->pulse; }

  /// Looks at the answers under way.
  news judge(time_point now);

  bool doubted() const { return this->since.has_value(); }

  /// \return True if the doubt has lasted for long enough to tell others.
  bool confirmed(time_point now) const;

  /// \return True if the server is doubted and left a question unanswered.
  bool unanswering() const { return this->doubted() && this->question_failed; }

  /// \return True if the server should be asked now.
  bool question_due(time_point now) const {
    return this->doubted() && !this->asking && now >= this->next_question;
  }

  /// A question was sent.
  void on_asked() { this->asking = true; }

  /// A question was answered, by whatever status, or wasn't in time.
  /// \return True if that ended a doubt.
  bool on_question_ended(bool answered, time_point now);

  /// The router itself stood still: what the server did meanwhile may not have
  /// been read yet.
  void excuse(time_point until) {
    this->pulse.excuse(until);
    this->question_failed = false;
  }

  /// The answer to a question may have been missed; it tells nothing.
  void on_question_missed() { this->asking = false; }

 private:
  void end_doubt() {
    this->since.reset();
    this->question_failed = false;
  }

  answer_pulse pulse;
  std::optional<time_point> since;
  bool asking = false;
  /// The last question of this doubt was left unanswered.
  bool question_failed = false;
  time_point next_question;
  /// Questions that were answered since the last piece of an answer: the
  /// server lives, and still answers no request.
  int hollow_answers = 0;
  /// No doubt arises before.
  time_point trusted_until;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SILENCE_WATCH_HPP
