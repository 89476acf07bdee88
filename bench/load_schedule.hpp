#ifndef BORAGEHILL_BENCH_LOAD_SCHEDULE_HPP
#define BORAGEHILL_BENCH_LOAD_SCHEDULE_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <boragehill/time_point.hpp>

#include "arrivals.hpp"

namespace boragehill::bench {

/// What an open-loop load sends.
struct load_plan {
  arrival_kind kind = arrival_kind::steady;
  /// Mean requests a second.
  double rate = 1;
  double seconds = 1;
  std::size_t models = 1;
  std::uint64_t seed = 1;

  bool operator==(const load_plan&) const = default;
};

/// When one request is sent, from the start, and for which model.
struct load_slot {
  milliseconds at{0};
  std::size_t model = 0;

  bool operator==(const load_slot&) const = default;
};

/// Returns a plan's requests in order of time.
///
/// Steady ones are a Poisson process; a storm sends half of all in the middle
/// fifth; a rush sends them in bursts of one second, one every ten.
std::vector<load_slot> draw_schedule(const load_plan& plan);

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_LOAD_SCHEDULE_HPP
