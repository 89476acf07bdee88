#ifndef BORAGEHILL_DECIDE_RUNNING_MEAN_HPP
#define BORAGEHILL_DECIDE_RUNNING_MEAN_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Exponentially weighted mean of durations, with an initial guess.
class running_mean {
 public:
  explicit running_mean(milliseconds first_guess) : mean(first_guess) {}

  void add(milliseconds measured) {
    constexpr int weight_of_old = 7;
    this->mean = this->has_sample ? (this->mean * weight_of_old + measured) /
                                        (weight_of_old + 1)
                                  : measured;
    this->has_sample = true;
  }

  /// \return False while the value is still the initial guess.
  bool has_measurement() const { return this->has_sample; }

  milliseconds value() const { return this->mean; }

 private:
  milliseconds mean;
  bool has_sample = false;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RUNNING_MEAN_HPP
