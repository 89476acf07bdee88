#ifndef BORAGEHILL_DECIDE_LOAD_TIME_ESTIMATOR_HPP
#define BORAGEHILL_DECIDE_LOAD_TIME_ESTIMATOR_HPP

#include <array>
#include <cstdint>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Estimates load times from past loads, by checkpoint tier.
class load_time_estimator {
 public:
  /// Returns the expected time of a load.
  milliseconds expected(checkpoint_tier tier, std::uint64_t bytes) const;

  /// Adds a finished load to the exponential moving average.
  void add_sample(checkpoint_tier tier, std::uint64_t bytes, milliseconds took);

 private:
  /// Throughput by tier; the initial guesses are 10, 2 and 0.5 GB/s.
  std::array<double, 3> bytes_per_ms{10e6, 2e6, 0.5e6};
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_LOAD_TIME_ESTIMATOR_HPP
