#ifndef BORAGEHILL_DECIDE_SPREAD_ESTIMATE_HPP
#define BORAGEHILL_DECIDE_SPREAD_ESTIMATE_HPP

#include <cmath>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Running mean and mean deviation of durations, as in TCP's retransmission
/// timeout (RFC 6298).
class spread_estimate {
 public:
  void add(milliseconds measured) {
    const auto value = static_cast<double>(measured.count());
    if (!this->seen) {
      this->seen = true;
      this->mean = value;
      this->spread = value / 2;
      return;
    }
    constexpr double weight_of_spread = 0.25;
    constexpr double weight_of_mean = 0.125;
    this->spread +=
        weight_of_spread * (std::abs(value - this->mean) - this->spread);
    this->mean += weight_of_mean * (value - this->mean);
  }

  /// \return Duration that few samples exceed: the mean plus four deviations;
  ///     0 without samples.
  milliseconds nearly_all() const {
    constexpr double spreads = 4;
    return milliseconds(std::llround(this->mean + spreads * this->spread));
  }

 private:
  bool seen = false;
  double mean = 0;
  double spread = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SPREAD_ESTIMATE_HPP
