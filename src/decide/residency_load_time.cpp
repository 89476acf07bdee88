#include "decide/residency_load_time.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace boragehill::decide {

namespace {

constexpr double weight_of_newest = 0.3;

}  // namespace

milliseconds residency_load_time::expected(checkpoint_tier tier,
                                           std::uint64_t bytes) const {
  const double speed = this->speed.at(static_cast<std::size_t>(tier));
  return milliseconds(std::llround(static_cast<double>(bytes) / speed));
}

void residency_load_time::learn(checkpoint_tier tier, std::uint64_t bytes,
                                milliseconds took) {
  if (bytes == 0) return;
  const auto time =
      static_cast<double>(std::max(took, milliseconds(1)).count());
  double& speed = this->speed.at(static_cast<std::size_t>(tier));
  const double seen = static_cast<double>(bytes) / time;
  // Averages the time per byte rather than the throughput, which would
  // underweight one slow load.
  const double mean = (1 - weight_of_newest) / speed + weight_of_newest / seen;
  speed = 1 / mean;
}

}  // namespace boragehill::decide
