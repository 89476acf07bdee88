#ifndef BORAGEHILL_BENCH_POLICY_EXPERIMENTS_HPP
#define BORAGEHILL_BENCH_POLICY_EXPERIMENTS_HPP

#include <string>
#include <vector>

#include "arrivals.hpp"
#include "policy_choice.hpp"
#include "policy_outcome.hpp"

namespace boragehill::bench {

/// One way to decide, under one load, at one deployment.
struct policy_case {
  std::string scale;
  /// What is compared, as "keep_warm".
  std::string question;
  arrival_kind load = arrival_kind::steady;
  /// The way, as "break_even".
  std::string way;
  policy_outcome outcome;

  bool operator==(const policy_case&) const = default;
};

/// Returns the two users' deployments.
std::vector<policy_scale> users_scales();

/// Runs every comparison at one deployment; the first way of each question is
/// the product's, the others are its baselines.
std::vector<policy_case> run_experiments(const policy_scale& scale);

/// Returns the name of a kind of load, as "storm".
std::string name_of(arrival_kind kind);

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_POLICY_EXPERIMENTS_HPP
