#ifndef BORAGEHILL_DECIDE_HEDGE_SCHEDULE_HPP
#define BORAGEHILL_DECIDE_HEDGE_SCHEDULE_HPP

#include <cstdint>

#include <boragehill/time_point.hpp>

#include "decide/hedge_settings.hpp"

namespace boragehill::decide {

/// Schedules hedged copies of a store request that has no response yet, while
/// earlier attempts are still in flight.
///
/// A store that stalls accepts calls without ever responding, but responds to
/// new ones as soon as it has recovered. With one attempt at a time, its
/// recovery goes unnoticed until the attempt times out: 3 s, while a change had
/// to be in force after 2 s. A shorter timeout would never get a response from
/// a slow store. So attempts overlap: recovery is noticed within the interval
/// between two of them, and each keeps a long timeout. A response that arrives
/// is waited for, however long it is: copies of it on a thin link leave none of
/// them enough to end in time.
class hedge_schedule {
 public:
  explicit hedge_schedule(const hedge_settings& settings)
      : settings(settings) {}

  /// Starts the schedule of a new request.
  /// \param hold_time How long the store may hold the request (long poll).
  void on_request_sent(time_point now, milliseconds hold_time);

  /// Records a hedged copy, sent at the time that `next_time` returned.
  void on_hedge_sent(time_point now, std::uint64_t random_bits);

  /// Records bytes of a response to an attempt, or that no hedged copy was sent
  /// since enough responses arrive. While they arrive, no copy is sent: it
  /// would compete with them for the link.
  void on_response_progress(time_point now) {
    this->next_attempt = now + this->settings.overdue_delay;
  }

  /// \param transfers Responses that have begun to arrive.
  /// \return True if a hedged copy may be sent.
  bool may_hedge(int transfers) const {
    return transfers < this->settings.max_transfers;
  }

  /// Records an attempt that ended without a response.
  void on_attempt_failed(time_point now, std::uint64_t random_bits);

  /// \return Time to send the next attempt if there is no response by then.
  time_point next_time() const { return this->next_attempt; }

  /// \return True if the store counts as lost: an attempt failed, or a second
  ///     hedged copy was due. One late response alone is not enough.
  bool is_store_lost() const;

  /// \param hold_time How long the store may hold the attempt.
  /// \return Timeout of an attempt without a byte of its response.
  milliseconds attempt_timeout(milliseconds hold_time) const {
    return hold_time + this->settings.attempt_timeout_margin;
  }

  /// \return Timeout of a response that stalls.
  milliseconds stall_timeout() const {
    return this->settings.attempt_timeout_margin;
  }

  /// \param hold_time How long the store may hold the attempt.
  /// \return Timeout of an attempt, however its response arrives.
  milliseconds total_timeout(milliseconds hold_time) const {
    return this->attempt_timeout(hold_time) + this->settings.transfer_timeout;
  }

 private:
  hedge_settings settings;
  time_point next_attempt;
  milliseconds attempt_interval{0};
  int hedges = 0;
  int failures = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HEDGE_SCHEDULE_HPP
