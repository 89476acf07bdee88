#include "decide/store_concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace boragehill::decide {

void store_concurrency_limit::on_load_finished(milliseconds nominal,
                                               milliseconds elapsed,
                                               double concurrent_loads,
                                               time_point now) {
  if (nominal <= milliseconds(0)) return;
  const double slowdown = static_cast<double>(elapsed.count()) /
                          static_cast<double>(nominal.count());
  if (slowdown > slowdown_threshold) {
    const auto served =
        static_cast<int>(std::lround(concurrent_loads / slowdown));
    const int new_limit = std::max(served, 1);
    // A load that is slow while few others run has another cause.
    if (concurrent_loads < slowdown_threshold ||
        new_limit >= this->current_limit)
      return;
    this->current_limit = new_limit;
    this->slow_limit = new_limit + 1;
    this->slow_limit_found_at = now;
    return;
  }
  if (concurrent_loads < this->current_limit - occupancy_tolerance) return;
  const bool known_slow =
      this->current_limit + 1 >= this->slow_limit && this->slow_limit > 0 &&
      now < this->slow_limit_found_at + raise_retry_interval;
  if (!known_slow) ++this->current_limit;
}

void store_concurrency_limit::on_load_overdue(milliseconds nominal,
                                              milliseconds elapsed,
                                              double concurrent_loads,
                                              time_point now) {
  const double slowdown = static_cast<double>(elapsed.count()) /
                          static_cast<double>(nominal.count());
  if (nominal > milliseconds(0) && slowdown > slowdown_threshold) {
    this->on_load_finished(nominal, elapsed, concurrent_loads, now);
  }
}

}  // namespace boragehill::decide
