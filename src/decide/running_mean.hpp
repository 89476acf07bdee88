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
    this->mean = this->seen ? (this->mean * weight_of_old + measured) /
                                  (weight_of_old + 1)
                            : measured;
    this->seen = true;
  }

  /// \return False while the value is still the initial guess.
  bool measured() const { return this->seen; }

  milliseconds value() const { return this->mean; }

 private:
  milliseconds mean;
  bool seen = false;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RUNNING_MEAN_HPP
