#ifndef BORAGEHILL_DECIDE_ANSWER_PULSE_HPP
#define BORAGEHILL_DECIDE_ANSWER_PULSE_HPP

#include <algorithm>

#include <boragehill/time_point.hpp>

#include "decide/spread_estimate.hpp"

namespace boragehill::decide {

/// What comes of the requests that a router has at one backend server: whether
/// its answers move, or have stood still for longer than they ever do.
///
/// The load it answers: a server's machine stands still for seconds with
/// answers under way. Nothing fails, so the router went on sending there for
/// as long as the platform listed it; each caller waited out its patience, and
/// the server ran the requests for nobody when it woke.
///
/// One silent answer among others that move is no silence of the server. Where
/// answers have begun, only the pause between any two pieces counts: a long
/// prompt is read in parts, between which the others move. Where none has, it
/// is the time to the first piece, with the time to read the prompts on top.
class answer_pulse {
 public:
  /// A request was sent.
  /// \param tokens Of its prompt; 0 if it has none.
  void on_sent(int tokens, time_point now);

  /// The first bytes of a request's answer came.
  void on_begun(int tokens, time_point now);

  /// More bytes of any answer came.
  void on_heard(time_point now);

  /// A request whose answer had begun is not waited for any more.
  void on_begun_left();

  /// A request without an answer is not waited for any more.
  void on_unbegun_left(int tokens);

  /// The caller of an answer that has begun doesn't take more of it, so that
  /// it isn't read.
  void on_held_up() { ++this->held_up; }
  /// \param now It is read again from now on.
  void on_resumed(time_point now);

  /// The router itself stood still: nothing could be heard meanwhile.
  void excuse(time_point until) { this->listened_since = until; }

  /// \return True if nothing has come for longer than this server's answers
  ///     ever take.
  bool overdue(time_point now) const;

  /// \return When something came last. What the router or a caller did is no
  ///     sign of the server.
  time_point last_heard() const { return this->heard; }

  /// \return Since when nothing has come that could have.
  time_point silent_since() const {
    return std::max(this->heard, this->listened_since);
  }

  /// \return Prompt tokens of the requests that have no answer yet.
  int tokens_unread() const { return this->unread_tokens; }

  /// \return Requests whose answers are waited for.
  int awaited() const { return this->begun - this->held_up + this->unbegun; }

 private:
  /// \return How long nothing may come.
  milliseconds bearable() const;

  int begun = 0;
  int unbegun = 0;
  int held_up = 0;
  int unread_tokens = 0;
  time_point heard;
  /// Nothing could be heard before: nothing was under way, or nobody read.
  time_point listened_since;
  spread_estimate pauses;
  spread_estimate first_pieces;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ANSWER_PULSE_HPP
