#ifndef BORAGEHILL_DECIDE_ANSWER_PULSE_HPP
#define BORAGEHILL_DECIDE_ANSWER_PULSE_HPP

#include <algorithm>

#include <boragehill/time_point.hpp>

#include "decide/spread_estimate.hpp"

namespace boragehill::decide {

/// Tracks the progress of a router's responses from one backend server and
/// tells when they have stalled for longer than usual.
///
/// If a server's machine freezes for seconds, no connection fails. Without
/// this check the router kept sending to it for as long as the platform listed
/// it, each caller ran into its timeout, and the resumed server ran the
/// requests for nobody.
///
/// One response without data is no stall while others progress. Once responses
/// have started, only the gap between any two pieces of data counts, because a
/// long prompt is processed in chunks between which other streams continue.
/// Before that, the time to the first byte counts, plus the time to process
/// the prompts.
class answer_pulse {
 public:
  /// Records that a request was sent.
  /// \param tokens Number of tokens of its prompt; 0 if it has none.
  void on_sent(int tokens, time_point now);

  /// Records the first bytes of a request's response.
  /// \param tokens As given to `on_sent`.
  void on_begun(int tokens, time_point now);

  /// Records further bytes of any response.
  void on_heard(time_point now);

  /// Stops tracking a request whose response has started.
  void on_begun_left();

  /// Stops tracking a request whose response has not started.
  /// \param tokens As given to `on_sent`.
  void on_unbegun_left(int tokens);

  /// Records that a started response is not being read from the server because
  /// its caller applies back-pressure.
  void on_held_up() { ++this->held_up; }
  /// Records that such a response is read again.
  void on_resumed(time_point now);

  /// Excludes a pause of the router itself, in which it could not read.
  /// \param until End of the pause.
  void excuse(time_point until) { this->listened_since = until; }

  /// \return True if responses are pending and no data has arrived for longer
  ///     than is usual for this server.
  bool overdue(time_point now) const;

  /// \return Time of the last data from the server, whatever the router or a
  ///     caller did since.
  time_point last_heard() const { return this->heard; }

  /// \return Start of the current wait for data: the last data, or the time
  ///     since which data could be read at all.
  time_point silent_since() const {
    return std::max(this->heard, this->listened_since);
  }

  /// \return Prompt tokens of the requests whose responses have not started.
  int tokens_unread() const { return this->unread_tokens; }

  /// \return Number of requests for which data is expected from the server.
  int awaited() const { return this->begun - this->held_up + this->unbegun; }

 private:
  /// \return Time without data after which the responses count as stalled.
  milliseconds bearable() const;

  int begun = 0;
  int unbegun = 0;
  int held_up = 0;
  int unread_tokens = 0;
  time_point heard;
  /// No data could be read before this time: no request was in flight, or
  /// reading was paused.
  time_point listened_since;
  spread_estimate pauses;
  spread_estimate first_pieces;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ANSWER_PULSE_HPP
