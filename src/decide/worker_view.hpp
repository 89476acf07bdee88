#ifndef BORAGEHILL_DECIDE_WORKER_VIEW_HPP
#define BORAGEHILL_DECIDE_WORKER_VIEW_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/resident_model.hpp"

namespace boragehill::decide {

/// A worker as the planner tells routers of it; valid until the next plan.
struct worker_view {
  const std::string* id = nullptr;
  /// Identifies the worker among all that were known; never used again.
  std::size_t index = 0;
  /// Models that it holds and keeps, and a number that changes with them.
  const std::vector<fleet::resident_model>* models = nullptr;
  std::uint64_t models_version = 0;
  /// Requests of all routers.
  int requests = 0;
  /// Slots that routers were granted and have not confirmed.
  int granted = 0;
  /// Requests with which it takes no more.
  double capacity = 0;

  bool operator==(const worker_view&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WORKER_VIEW_HPP
