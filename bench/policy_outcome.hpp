#ifndef BORAGEHILL_BENCH_POLICY_OUTCOME_HPP
#define BORAGEHILL_BENCH_POLICY_OUTCOME_HPP

#include <cstdint>

namespace boragehill::bench {

/// What one run on virtual time came to.
struct policy_outcome {
  std::uint64_t requests = 0;
  /// Requests that met a model that was not ready.
  std::uint64_t cold = 0;
  /// Of these, those whose deadline passed first.
  std::uint64_t missed = 0;
  std::uint64_t loads = 0;
  /// Quantiles of the wait of cold requests, in seconds; a missed one counts
  /// with the whole time that its caller would wait.
  double cold_p50 = 0;
  double cold_p99 = 0;
  /// 95 in 100 of all requests, warm ones included, wait at most this.
  double all_p95 = 0;
  /// The share of all requests that had to wait for a load.
  double cold_share = 0;
  /// The share of the cold requests that were missed.
  double missed_share = 0;
  /// Hours that replicas stood ready with nothing running.
  double idle_hours = 0;
  /// Weighted hours: cold requests' waits and idle replicas.
  double weighted = 0;
  /// Models whose grants all stand in one failure domain.
  std::uint64_t in_one_domain = 0;

  bool operator==(const policy_outcome&) const = default;
};

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_POLICY_OUTCOME_HPP
