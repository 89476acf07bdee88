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
  const double throughput =
      this->bytes_per_ms.at(static_cast<std::size_t>(tier));
  return milliseconds(std::llround(static_cast<double>(bytes) / throughput));
}

void load_time_estimator::add_sample(checkpoint_tier tier, std::uint64_t bytes,
                                     milliseconds took) {
  if (bytes == 0) return;
  const auto time_ms =
      static_cast<double>(std::max(took, milliseconds(1)).count());
  double& throughput = this->bytes_per_ms.at(static_cast<std::size_t>(tier));
  const double sample_throughput = static_cast<double>(bytes) / time_ms;
  // Averages the time per byte rather than the throughput, which would
  // underweight one slow load.
  const double mean_time_per_byte = (1 - newest_sample_weight) / throughput +
                                    newest_sample_weight / sample_throughput;
  throughput = 1 / mean_time_per_byte;
}

}  // namespace boragehill::decide
