#ifndef BORAGEHILL_DECIDE_PLANNED_LOAD_HPP
#define BORAGEHILL_DECIDE_PLANNED_LOAD_HPP

#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A load that was planned and isn't reported as done yet.
struct planned_load {
  std::string model;
  bool from_store = false;
  /// The load's time when the store serves nothing else.
  milliseconds usual{0};
  /// When the worker was first seen at work on it.
  std::optional<time_point> seen;
  /// Loads from the store meanwhile, summed over the time since.
  double crowd_ms = 0;
  /// When it should be done.
  time_point due;
  /// When it is given up.
  time_point give_up;

  bool operator==(const planned_load&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLANNED_LOAD_HPP
