#include "load_schedule.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace boragehill::bench {

namespace {

constexpr double storm_begins = 0.4;
constexpr double storm_share = 0.2;
constexpr double rush_every_seconds = 10;

/// Returns where a uniform place in [0, 1) of the run falls, in seconds.
double second_of(const load_plan& plan, double place, double chance) {
  if (plan.kind == arrival_kind::storm && chance < 0.5) {
    return (storm_begins + storm_share * place) * plan.seconds;
  }
  if (plan.kind == arrival_kind::rush) {
    const double burst = std::floor(place * plan.seconds / rush_every_seconds);
    return burst * rush_every_seconds + chance;
  }
  return place * plan.seconds;
}

}  // namespace

std::vector<load_slot> draw_schedule(const load_plan& plan) {
  std::mt19937_64 random(plan.seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::poisson_distribution<std::size_t> number(plan.rate * plan.seconds);
  std::uniform_int_distribution<std::size_t> model(0, plan.models - 1);
  std::vector<load_slot> slots(number(random));
  for (load_slot& slot : slots) {
    const double second = second_of(plan, uniform(random), uniform(random));
    slot = {.at = milliseconds(std::llround(second * 1000)),
            .model = model(random)};
  }
  std::ranges::sort(slots, std::less{}, &load_slot::at);
  return slots;
}

}  // namespace boragehill::bench
