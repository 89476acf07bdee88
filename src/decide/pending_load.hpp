#ifndef BORAGEHILL_DECIDE_PENDING_LOAD_HPP
#define BORAGEHILL_DECIDE_PENDING_LOAD_HPP

#include <string>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A load that was ordered and is not yet reported as ready.
struct pending_load {
  std::string server;
  /// Empty for the base model.
  std::string adapter;
  time_point ordered_at;
  time_point expected_ready_at;
  checkpoint_tier tier = checkpoint_tier::remote;
  /// Whether the agent has accepted the order.
  bool accepted = false;
  /// Whether it waits for the weight store's concurrency limit; it is ordered
  /// again at `retry_at`.
  bool deferred = false;
  time_point retry_at;

  bool operator==(const pending_load&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PENDING_LOAD_HPP
