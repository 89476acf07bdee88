#include "decide/store_concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace boragehill::decide {

void store_concurrency_limit::on_load_finished(milliseconds usual,
                                               milliseconds took,
                                               double at_once, time_point now) {
  if (usual <= milliseconds(0)) return;
  const double factor =
      static_cast<double>(took.count()) / static_cast<double>(usual.count());
  if (factor > slowdown_threshold) {
    const auto served = static_cast<int>(std::lround(at_once / factor));
    const int found = std::max(served, 1);
    // A load that is slow while few others run has another cause.
    if (at_once < slowdown_threshold || found >= this->current_limit) return;
    this->current_limit = found;
    this->slow_limit = found + 1;
    this->slow_limit_found_at = now;
    return;
  }
  if (at_once < this->current_limit - occupancy_tolerance) return;
  const bool known_slow =
      this->current_limit + 1 >= this->slow_limit && this->slow_limit > 0 &&
      now < this->slow_limit_found_at + raise_retry_interval;
  if (!known_slow) ++this->current_limit;
}

void store_concurrency_limit::on_load_overdue(milliseconds usual,
                                              milliseconds so_far,
                                              double at_once, time_point now) {
  const double factor =
      static_cast<double>(so_far.count()) / static_cast<double>(usual.count());
  if (usual > milliseconds(0) && factor > slowdown_threshold) {
    this->on_load_finished(usual, so_far, at_once, now);
  }
}

}  // namespace boragehill::decide
