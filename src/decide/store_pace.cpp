#include "decide/store_pace.hpp"

#include <algorithm>
#include <cmath>

namespace boragehill::decide {

void store_pace::on_load(milliseconds usual, milliseconds took, double at_once,
                         time_point now) {
  if (usual <= milliseconds(0)) return;
  const double factor =
      static_cast<double>(took.count()) / static_cast<double>(usual.count());
  if (factor > slow) {
    const auto served = static_cast<int>(std::lround(at_once / factor));
    const int found = std::max(served, 1);
    // A load that is slow while few others run has another cause.
    if (at_once < slow || found >= this->places) return;
    this->places = found;
    this->too_many = found + 1;
    this->found_slow = now;
    return;
  }
  if (at_once < this->places - nearly) return;
  const bool known_slow = this->places + 1 >= this->too_many &&
                          this->too_many > 0 &&
                          now < this->found_slow + remember;
  if (!known_slow) ++this->places;
}

void store_pace::on_overdue(milliseconds usual, milliseconds so_far,
                            double at_once, time_point now) {
  const double factor =
      static_cast<double>(so_far.count()) / static_cast<double>(usual.count());
  if (usual > milliseconds(0) && factor > slow) {
    this->on_load(usual, so_far, at_once, now);
  }
}

}  // namespace boragehill::decide
