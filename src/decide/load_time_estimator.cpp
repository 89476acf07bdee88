#include "decide/load_time_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace boragehill::decide {

namespace {

constexpr double newest_sample_weight = 0.3;

}  // namespace

milliseconds load_time_estimator::expected(checkpoint_tier tier,
                                           std::uint64_t bytes) const {
  const double speed = this->bytes_per_ms.at(static_cast<std::size_t>(tier));
  return milliseconds(std::llround(static_cast<double>(bytes) / speed));
}

void load_time_estimator::add_sample(checkpoint_tier tier, std::uint64_t bytes,
                                     milliseconds took) {
  if (bytes == 0) return;
  const auto time =
      static_cast<double>(std::max(took, milliseconds(1)).count());
  double& speed = this->bytes_per_ms.at(static_cast<std::size_t>(tier));
  const double seen = static_cast<double>(bytes) / time;
  // Averages the time per byte rather than the throughput, which would
  // underweight one slow load.
  const double mean =
      (1 - newest_sample_weight) / speed + newest_sample_weight / seen;
  speed = 1 / mean;
}

}  // namespace boragehill::decide
