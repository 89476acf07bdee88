#include "policy_experiments.hpp"

#include <functional>

#include "policy_world.hpp"

namespace boragehill::bench {

namespace {

constexpr std::uint64_t seeds = 5;
constexpr auto minute = milliseconds(60000);

/// A named change to the product's choice.
struct way {
  std::string name;
  std::function<void(policy_choice&)> change;
};

struct question {
  std::string name;
  std::vector<arrival_kind> loads;
  policy_faults faults;
  std::vector<way> ways;
  /// Accelerators of a worker; 0 for the deployment's.
  std::size_t accelerators = 0;
};

milliseconds length_of(arrival_kind kind) {
  return kind == arrival_kind::steady ? 360 * minute : 60 * minute;
}

void keep_choice(policy_choice& choice) {
  static_cast<void>(choice);
}

std::function<void(policy_choice&)> use_timer(milliseconds time) {
  return [time](policy_choice& choice) {
    choice.keep_warm = decide::fixed_timer_rule{time};
  };
}

question keep_warm_question() {
  const auto histogram = [](policy_choice& choice) {
    choice.keep_warm = decide::histogram_rule{.max_keep_warm = 10 * minute};
  };
  const auto memory = [](policy_choice& choice) {
    choice.expects_memory = true;
  };
  return {
      .name = "keep_warm",
      .loads = {arrival_kind::steady, arrival_kind::storm, arrival_kind::rush},
      .faults = {},
      .ways = {{"break_even", keep_choice},
               {"memory_reload", memory},
               {"fixed_1min", use_timer(minute)},
               {"fixed_10min", use_timer(10 * minute)},
               {"histogram", histogram},
               {"always_off", use_timer(milliseconds(0))}}};
}

question grants_question() {
  // The outage covers the whole storm but for its first minutes.
  const policy_faults outage{.table_down_from = 17 * minute,
                             .table_down_until = 27 * minute};
  const auto at_wake = [](policy_choice& choice) {
    choice.standing_grants = false;
  };
  return {.name = "grants_in_outage",
          .loads = {arrival_kind::storm},
          .faults = outage,
          .ways = {{"standing", keep_choice}, {"at_each_wake", at_wake}}};
}

question grants_in_calm_question() {
  question calm = grants_question();
  calm.name = "grants";
  calm.faults = {};
  calm.loads = {arrival_kind::steady, arrival_kind::storm};
  return calm;
}

// All replaced workers and room for all models leave just the store to wait
// for.
question wake_order_question() {
  const auto first_come = [](policy_choice& choice) {
    choice.deadline_order = false;
  };
  return {.name = "wake_order",
          .loads = {arrival_kind::storm, arrival_kind::opening},
          .faults = {.no_caches = true},
          .ways = {{"deadline", keep_choice}, {"first_come", first_come}},
          .accelerators = 8};
}

question placement_question() {
  const auto random = [](policy_choice& choice) {
    choice.chosen_placement = false;
  };
  return {.name = "placement",
          .loads = {arrival_kind::steady, arrival_kind::storm},
          .faults = {},
          .ways = {{"chosen", keep_choice}, {"random", random}}};
}

question coalescing_question() {
  const auto each = [](policy_choice& choice) {
    choice.one_wake_a_burst = false;
  };
  return {.name = "coalescing",
          .loads = {arrival_kind::storm, arrival_kind::rush},
          .faults = {},
          .ways = {{"one_wake", keep_choice}, {"wake_a_request", each}}};
}

question eviction_question() {
  // With the product's short keep-warm times memory is seldom full; a long one
  // makes room a question of eviction.
  const auto least = use_timer(10 * minute);
  const auto oldest = [least](policy_choice& choice) {
    least(choice);
    choice.least_loss = false;
  };
  return {.name = "eviction",
          .loads = {arrival_kind::storm, arrival_kind::rush},
          .faults = {},
          .ways = {{"least_loss", least}, {"lru", oldest}}};
}

std::vector<question> all_questions() {
  return {keep_warm_question(), grants_in_calm_question(),
          grants_question(),    wake_order_question(),
          placement_question(), coalescing_question(),
          eviction_question()};
}

void add(policy_outcome& sum, const policy_outcome& one) {
  sum.requests += one.requests;
  sum.cold += one.cold;
  sum.missed += one.missed;
  sum.loads += one.loads;
  sum.cold_p50 += one.cold_p50 / seeds;
  sum.cold_p99 += one.cold_p99 / seeds;
  sum.all_p95 += one.all_p95 / seeds;
  sum.cold_share += one.cold_share / seeds;
  sum.missed_share += one.missed_share / seeds;
  sum.idle_hours += one.idle_hours;
  sum.weighted += one.weighted;
  sum.in_one_domain += one.in_one_domain;
}

policy_outcome run_seeds(const policy_scale& scale, const policy_choice& choice,
                         const policy_faults& faults, arrival_kind kind) {
  policy_outcome sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto arrivals = draw_arrivals({.kind = kind,
                                         .models = scale.models,
                                         .length = length_of(kind),
                                         .seed = seed});
    policy_world world(scale, choice, faults, seed);
    add(sum, world.run(arrivals));
  }
  return sum;
}

}  // namespace

std::vector<policy_scale> users_scales() {
  return {{.name = "cascade",
           .workers = 9,
           .failure_domains = 4,
           .models = 50,
           .cold_start_weight = 2,
           .idle_weight = 1,
           .loads_a_second = 2.5},
          {.name = "brazos",
           .workers = 18,
           .failure_domains = 3,
           .models = 105,
           .cold_start_weight = 1,
           .idle_weight = 2,
           .loads_a_second = 5}};
}

std::vector<policy_case> run_experiments(const policy_scale& scale) {
  std::vector<policy_case> cases;
  for (const question& asked : all_questions()) {
    policy_scale used = scale;
    if (asked.accelerators > 0) used.accelerators = asked.accelerators;
    for (const arrival_kind load : asked.loads) {
      for (const way& one : asked.ways) {
        policy_choice choice{.keep_warm = decide::break_even_rule{
                                 scale.cold_start_weight, scale.idle_weight}};
        one.change(choice);
        cases.push_back({scale.name, asked.name, load, one.name,
                         run_seeds(used, choice, asked.faults, load)});
      }
    }
  }
  return cases;
}

std::string name_of(arrival_kind kind) {
  switch (kind) {
    case arrival_kind::storm:
      return "storm";
    case arrival_kind::rush:
      return "rush";
    case arrival_kind::opening:
      return "opening";
    case arrival_kind::steady:
      break;
  }
  return "steady";
}

}  // namespace boragehill::bench
