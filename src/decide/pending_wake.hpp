#ifndef BORAGEHILL_DECIDE_PENDING_WAKE_HPP
#define BORAGEHILL_DECIDE_PENDING_WAKE_HPP

#include <string>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A wake that was ordered and whose model is not yet reported ready.
struct pending_wake {
  std::string server;
  /// Empty for the base model.
  std::string adapter;
  time_point ordered_at;
  time_point expected_ready;
  checkpoint_tier tier = checkpoint_tier::remote;
  /// Set once the agent took the order.
  bool accepted = false;
  /// Set while the weight store's pacing keeps it waiting; it is ordered again
  /// at `again_at`.
  bool paced = false;
  time_point again_at;

  bool operator==(const pending_wake&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PENDING_WAKE_HPP
