#ifndef BORAGEHILL_DECIDE_RESIDENCY_LOAD_CHOICE_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_LOAD_CHOICE_HPP

#include <string>
#include <vector>

#include "decide/residency_planner.hpp"

namespace boragehill::decide {

/// A worker on which to load a model, and what to evict there for it.
struct residency_planner::load_choice {
  std::string worker;
  const fleet::model* model = nullptr;
  std::vector<std::string> evictions;
  milliseconds load_time{0};
  bool from_store = false;
  /// Expected cost in seconds of waiting, summed over all requests.
  double cost_seconds = 0;
  /// The part of `cost_seconds` that falls on requests for evicted models.
  double eviction_cost_seconds = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_LOAD_CHOICE_HPP
