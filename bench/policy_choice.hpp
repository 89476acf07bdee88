#ifndef BORAGEHILL_BENCH_POLICY_CHOICE_HPP
#define BORAGEHILL_BENCH_POLICY_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include <boragehill/time_point.hpp>

#include "decide/keep_warm.hpp"

namespace boragehill::bench {

/// The decisions under comparison; the defaults are the product's.
struct policy_choice {
  decide::keep_warm_rule keep_warm = decide::break_even_rule{};
  /// Gives the rule the time of a reload from memory, where a checkpoint that
  /// was just unloaded is, in place of the time that this load takes.
  bool expects_memory = false;
  /// Wakes under grants written ahead; else by a table write at each wake.
  bool standing_grants = true;
  /// Loads from the store by earliest feasible deadline; else first come.
  bool deadline_order = true;
  /// Grants spread by `choose_servers`; else drawn at random.
  bool chosen_placement = true;
  /// One wake for a burst; else each request wakes another replica.
  bool one_wake_a_burst = true;
  /// Evicts the least expected loss; else the least recently used.
  bool least_loss = true;

  bool operator==(const policy_choice&) const = default;
};

/// A users' deployment and the assumptions made of it.
struct policy_scale {
  std::string name;
  std::size_t workers = 0;
  std::size_t failure_domains = 1;
  std::size_t models = 0;
  double cold_start_weight = 1;
  double idle_weight = 1;
  /// What the weight store allows at full speed.
  double loads_a_second = 1;
  std::uint32_t parallel_loads = 4;
  /// Accelerators of one worker; each holds one replica.
  std::size_t accelerators = 3;
  std::size_t grants = 2;
  /// Checkpoints kept by one worker in memory and on disk.
  std::size_t in_memory = 2;
  std::size_t on_disk = 6;
  milliseconds load_from_memory{3000};
  milliseconds load_from_disk{20000};

  bool operator==(const policy_scale&) const = default;
};

/// Faults of the platform in one run.
struct policy_faults {
  /// The store runs at this share of its rate.
  double store_speed = 1;
  /// Workers were all replaced and keep no checkpoints.
  bool no_caches = false;
  milliseconds table_latency{20};
  /// The table does not answer from and until; equal for never.
  milliseconds table_down_from{0};
  milliseconds table_down_until{0};

  bool operator==(const policy_faults&) const = default;
};

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_POLICY_CHOICE_HPP
