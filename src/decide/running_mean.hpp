#ifndef BORAGEHILL_DECIDE_RUNNING_MEAN_HPP
#define BORAGEHILL_DECIDE_RUNNING_MEAN_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Exponentially weighted mean of durations, with an initial guess.
class running_mean {
 public:
  explicit running_mean(milliseconds initial_guess) : mean(initial_guess) {}

  void add(milliseconds sample) {
    constexpr int old_weight = 7;
    this->mean = this->has_sample
                     ? (this->mean * old_weight + sample) / (old_weight + 1)
                     : sample;
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
