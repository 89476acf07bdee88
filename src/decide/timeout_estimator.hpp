#ifndef BORAGEHILL_DECIDE_TIMEOUT_ESTIMATOR_HPP
#define BORAGEHILL_DECIDE_TIMEOUT_ESTIMATOR_HPP

#include <cmath>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Running mean and mean deviation of durations, as in TCP's retransmission
/// timeout (RFC 6298).
class timeout_estimator {
 public:
  void add(milliseconds sample) {
    const auto value = static_cast<double>(sample.count());
    if (!this->has_sample) {
      this->has_sample = true;
      this->mean = value;
      this->deviation = value / 2;
      return;
    }
    constexpr double deviation_weight = 0.25;
    constexpr double mean_weight = 0.125;
    this->deviation +=
        deviation_weight * (std::abs(value - this->mean) - this->deviation);
    this->mean += mean_weight * (value - this->mean);
  }

  /// \return Duration that few samples exceed: the mean plus four deviations;
  ///     0 without samples.
  milliseconds upper_bound() const {
    constexpr double deviations = 4;
    return milliseconds(
        std::llround(this->mean + deviations * this->deviation));
  }

 private:
  bool has_sample = false;
  double mean = 0;
  double deviation = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_TIMEOUT_ESTIMATOR_HPP
