#ifndef BORAGEHILL_DECIDE_DECAYING_SUM_HPP
#define BORAGEHILL_DECIDE_DECAYING_SUM_HPP

#include <algorithm>
#include <chrono>
#include <cmath>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Exponentially decaying sum of amounts; divided by its time constant it is a
/// rate.
class decaying_sum {
 public:
  /// \param time_constant Time after which an amount has 1/e of its weight.
  explicit decaying_sum(milliseconds time_constant)
      : time_constant(time_constant) {}

  /// Adds an amount.
  /// \param now Not before the time of the previous call.
  void add(double amount, time_point now) {
    this->sum = this->value(now) + amount;
    this->last_update = now;
  }

  /// \return The decayed sum.
  double value(time_point now) const {
    const std::chrono::duration<double, std::milli> age =
        now - this->last_update;
    const double time_constants =
        std::max(age.count(), 0.0) /
        static_cast<double>(this->time_constant.count());
    return this->sum * std::exp(-time_constants);
  }

  /// \return The rate in amounts per second.
  double per_second(time_point now) const {
    constexpr double ms_per_second = 1000;
    return this->value(now) * ms_per_second /
           static_cast<double>(this->time_constant.count());
  }

 private:
  milliseconds time_constant;
  double sum = 0;
  time_point last_update;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_DECAYING_SUM_HPP
