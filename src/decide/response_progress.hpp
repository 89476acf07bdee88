#ifndef BORAGEHILL_DECIDE_RESPONSE_PROGRESS_HPP
#define BORAGEHILL_DECIDE_RESPONSE_PROGRESS_HPP

#include <algorithm>

#include <boragehill/time_point.hpp>

#include "decide/timeout_estimator.hpp"

namespace boragehill::decide {

/// Tracks the progress of a router's responses from one backend server and
/// detects when they have stalled for longer than usual.
///
/// If a server's machine freezes for seconds, no connection fails. Without
/// this check the router sent requests to it for as long as the platform listed
/// it, their callers timed out, and the server ran the abandoned requests after
/// it had resumed.
///
/// One response without data is no stall while others progress. Once responses
/// have started, only the gap between any two pieces of data counts, because a
/// long prompt is processed in chunks between which other streams continue.
/// Before that, the time to the first byte counts, plus the time to process
/// the prompts.
class response_progress {
 public:
  /// Records that a request was sent.
  /// \param prompt_tokens Number of tokens of its prompt; 0 if it has none.
  void on_sent(int prompt_tokens, time_point now);

  /// Records the first bytes of a request's response.
  /// \param prompt_tokens As given to `on_sent`.
  void on_response_started(int prompt_tokens, time_point now);

  /// Records further bytes of any response.
  void on_data(time_point now);

  /// Stops tracking a request whose response has started.
  void on_started_request_removed();

  /// Stops tracking a request whose response has not started.
  /// \param prompt_tokens As given to `on_sent`.
  void on_unstarted_request_removed(int prompt_tokens);

  /// Records that a started response is not being read from the server because
  /// its caller applies back-pressure.
  void on_read_paused() { ++this->read_paused; }
  /// Records that such a response is read again.
  void on_read_resumed(time_point now);

  /// Excludes a pause of the router itself, in which it could not read.
  /// \param pause_end End of the pause.
  void ignore_local_pause(time_point pause_end) {
    this->observing_since = pause_end;
  }

  /// \return True if responses are pending and no data has arrived for longer
  ///     than is usual for this server.
  bool is_stalled(time_point now) const;

  /// \return Time of the last data from the server, regardless of later pauses
  ///     of the router or of a caller.
  time_point last_data_time() const { return this->last_data; }

  /// \return Start of the current wait for data: the last data, or the time
  ///     since which data could be read at all.
  time_point waiting_since() const {
    return std::max(this->last_data, this->observing_since);
  }

  /// \return Prompt tokens of the requests whose responses have not started.
  int prompt_backlog_tokens() const { return this->backlog_tokens; }

  /// \return Number of requests for which data is expected from the server.
  int awaited_responses() const {
    return this->started - this->read_paused + this->unstarted;
  }

 private:
  /// \return Time without data after which the responses count as stalled.
  milliseconds stall_timeout() const;

  int started = 0;
  int unstarted = 0;
  int read_paused = 0;
  int backlog_tokens = 0;
  time_point last_data;
  /// No data could be read before this time: no request was in flight, or
  /// reading was paused.
  time_point observing_since;
  timeout_estimator data_gaps;
  timeout_estimator first_byte_times;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESPONSE_PROGRESS_HPP
