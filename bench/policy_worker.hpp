#ifndef BORAGEHILL_BENCH_POLICY_WORKER_HPP
#define BORAGEHILL_BENCH_POLICY_WORKER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::bench {

/// A replica that a worker holds or loads.
struct policy_replica {
  bool ready = false;
  std::uint32_t running = 0;
  milliseconds last_used{0};
  milliseconds keep_warm{0};
  /// Told apart from an earlier replica of the same model.
  std::uint64_t number = 0;

  bool operator==(const policy_replica&) const = default;
};

/// One worker: the replicas on its accelerators and its cached checkpoints,
/// the last used first.
struct policy_worker {
  std::string name;
  std::string failure_domain;
  std::map<std::size_t, policy_replica> replicas;
  std::deque<std::size_t> memory;
  std::deque<std::size_t> disk;

  /// Returns where a checkpoint would be loaded from.
  checkpoint_tier tier(std::size_t model) const;

  /// Notes that a checkpoint was used; the oldest beyond the limits go.
  void keep_checkpoint(std::size_t model, std::size_t in_memory,
                       std::size_t on_disk);

  bool operator==(const policy_worker&) const = default;
};

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_POLICY_WORKER_HPP
