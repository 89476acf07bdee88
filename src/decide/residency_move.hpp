#ifndef BORAGEHILL_DECIDE_RESIDENCY_MOVE_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_MOVE_HPP

#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A load that the planner decided, with what it rests on.
struct residency_move {
  std::string server;
  std::string model;
  /// "wake", "relief" or "stock".
  std::string why;
  /// Models that make room for it.
  std::vector<std::string> victims;
  milliseconds load_time{0};
  bool from_store = false;
  /// In seconds of waiting, over all requests.
  double cost = 0;
  /// Requests that wait for the model, and that are at workers.
  int waiting = 0;
  int flying = 0;
  int replicas = 0;

  bool operator==(const residency_move&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_MOVE_HPP
