#ifndef BORAGEHILL_BENCH_POLICY_BOUNDS_HPP
#define BORAGEHILL_BENCH_POLICY_BOUNDS_HPP

#include <string>
#include <vector>

#include "policy_experiments.hpp"

namespace boragehill::bench {

/// The most that a figure may be, alone or against a baseline's.
struct policy_bound {
  std::string scale;
  std::string question;
  std::string load;
  std::string way;
  /// The way to divide by; empty for none.
  std::string against;
  /// "cold_p99", "all_p95", "cold_share", "idle_hours", "weighted",
  /// "missed_share", "loads" or "in_one_domain".
  std::string figure;
  double most = 0;

  bool operator==(const policy_bound&) const = default;
};

/// What a bound came to.
struct bound_verdict {
  policy_bound bound;
  double measured = 0;
  bool kept = false;
  /// Whether the bound names a case and a figure that exist.
  bool known = false;

  bool operator==(const bound_verdict&) const = default;
};

/// Reads the entries of `bound` of a TOML file.
///
/// \param path The file.
/// \return The bounds; throws if it can't be read.
std::vector<policy_bound> read_bounds(const std::string& path);

/// Returns a figure by its name; negative for a name that is none.
double figure_of(const policy_outcome& outcome, const std::string& figure);

/// Returns the verdict on each bound. One that names no case is not kept, so
/// that a renamed case doesn't end its bound unseen.
std::vector<bound_verdict> check_bounds(const std::vector<policy_bound>& bounds,
                                        const std::vector<policy_case>& cases);

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_POLICY_BOUNDS_HPP
