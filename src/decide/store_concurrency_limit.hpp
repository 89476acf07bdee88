#ifndef BORAGEHILL_DECIDE_STORE_CONCURRENCY_LIMIT_HPP
#define BORAGEHILL_DECIDE_STORE_CONCURRENCY_LIMIT_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Adaptive limit of concurrent loads from the weight store.
///
/// After many workers were replaced, dozens of models have no copy left and all
/// must come from the store. The store serves a few loads at full speed and
/// slows all of them down beyond that; it does not report how many. With too
/// many loads none finishes in time: four loads on a store that serves one all
/// finish after four load times, whereas run one at a time the two most
/// requested models are ready after one and two.
///
/// So the limit follows the measured load times. A load that was on time while
/// all slots were in use raises the limit by one; a slow load lowers it to what
/// the store serves.
class store_concurrency_limit {
 public:
  /// A load that takes more than its nominal time multiplied by this factor was
  /// slowed down by others. Loads that overlap only partly are slowed down by
  /// less and are not conclusive.
  static constexpr double slowdown_threshold = 1.2;
  /// All slots count as used if the mean number of concurrent loads is below
  /// the limit by at most this.
  static constexpr double occupancy_tolerance = 0.25;
  /// A limit that was found too high is not tried again for this long: each try
  /// costs the loads that take part in it up to twice their time.
  static constexpr milliseconds raise_retry_interval{60000};

  /// \param initial Limit until load times have been measured.
  explicit store_concurrency_limit(int initial) : current_limit(initial) {}

  /// Updates the limit after a load finished.
  /// \param nominal Its load time when nothing else is loading.
  /// \param elapsed Its measured load time.
  /// \param concurrent_loads Mean number of loads running during it, itself
  ///     included.
  void on_load_finished(milliseconds nominal, milliseconds elapsed,
                        double concurrent_loads, time_point now);

  /// Lowers the limit if a load that is still running past its due time was
  /// slowed down by others.
  /// \param nominal Its load time when nothing else is loading.
  /// \param elapsed Time since it started.
  void on_load_overdue(milliseconds nominal, milliseconds elapsed,
                       double concurrent_loads, time_point now);

  /// \return Number of loads that may run concurrently; at least one.
  int limit() const { return this->current_limit; }

 private:
  int current_limit;
  /// The smallest number of loads at which the store was last found too slow;
  /// zero if it never was.
  int slow_limit = 0;
  time_point slow_limit_found_at;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STORE_CONCURRENCY_LIMIT_HPP
