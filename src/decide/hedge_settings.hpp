#ifndef BORAGEHILL_DECIDE_HEDGE_SETTINGS_HPP
#define BORAGEHILL_DECIDE_HEDGE_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Times at which requests to the platform's store are hedged and at which an
/// attempt times out.
struct hedge_settings {
  /// Time after the end of the hold time from which a response is overdue. The
  /// store responds in 4 ms, and in tens of times that when it is slow.
  milliseconds overdue_delay{500};
  /// Longest time between two attempts, and twice the shortest, for a request
  /// with a hold time of up to twice this. One with a longer hold time is less
  /// urgent and uses half of that time instead: while the store is down, 340
  /// routers with polls of 1 and 2 s and 600 agents with one of 10 s send it
  /// 1,370 requests a second; it can take 2,000.
  milliseconds attempt_interval{600};
  /// Longest delay before the first retry of an attempt that failed at once,
  /// for example on a connection that the store had closed.
  milliseconds first_retry_delay{100};
  /// Timeout of an attempt without a byte of its response, in addition to its
  /// hold time, and of one whose response stalls. Longer than the interval
  /// between attempts, so that a slow store can still respond.
  milliseconds attempt_timeout_margin{1500};
  /// Timeout of a response that arrives, in addition to that of its first byte.
  /// Enough for the largest one on the thinnest link, beside requests.
  milliseconds transfer_timeout{5000};
  /// Responses that may arrive at the same time.
  int max_transfers = 2;

  bool operator==(const hedge_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HEDGE_SETTINGS_HPP
