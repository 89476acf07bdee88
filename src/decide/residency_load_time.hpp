#ifndef BORAGEHILL_DECIDE_RESIDENCY_LOAD_TIME_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_LOAD_TIME_HPP

#include <array>
#include <cstdint>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Estimates load times from past loads, by checkpoint tier.
class residency_load_time {
 public:
  /// Returns the expected time of a load.
  milliseconds expected(checkpoint_tier tier, std::uint64_t bytes) const;

  /// Adds a finished load to the exponential moving average.
  void learn(checkpoint_tier tier, std::uint64_t bytes, milliseconds took);

 private:
  /// Throughput by tier; the initial guesses are 10, 2 and 0.5 GB/s.
  std::array<double, 3> speed{10e6, 2e6, 0.5e6};
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_LOAD_TIME_HPP
