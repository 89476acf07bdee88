#ifndef BORAGEHILL_BENCH_ARRIVALS_HPP
#define BORAGEHILL_BENCH_ARRIVALS_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::bench {

/// When requests come.
enum class arrival_kind {
  /// Each model has its own sessions; few models have most of them.
  steady,
  /// A deadline week: every model is called by many within ten minutes.
  storm,
  /// Before each seminar a fifth of the models is called within a minute.
  rush,
  /// The doors open: every model is called within seconds.
  opening
};

/// One request to come.
struct arrival {
  milliseconds at{0};
  std::size_t model = 0;
  /// How long its caller waits.
  milliseconds patience{0};
  /// How long it runs.
  milliseconds run{0};

  bool operator==(const arrival&) const = default;
};

/// What is drawn; the same values give the same arrivals.
struct arrival_plan {
  arrival_kind kind = arrival_kind::steady;
  std::size_t models = 1;
  milliseconds length{0};
  std::uint64_t seed = 1;

  bool operator==(const arrival_plan&) const = default;
};

/// Returns the arrivals of a plan in order of time.
std::vector<arrival> draw_arrivals(const arrival_plan& plan);

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_ARRIVALS_HPP
