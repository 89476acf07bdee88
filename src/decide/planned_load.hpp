#ifndef BORAGEHILL_DECIDE_PLANNED_LOAD_HPP
#define BORAGEHILL_DECIDE_PLANNED_LOAD_HPP

#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A load that was planned and has not been reported as finished.
struct planned_load {
  std::string model;
  bool from_store = false;
  /// Load time when the store serves no other load.
  milliseconds nominal_load_time{0};
  /// When the worker was first reported busy with it.
  std::optional<time_point> first_seen_busy;
  /// Number of concurrent store loads, integrated over the time since
  /// `first_seen_busy`, in milliseconds.
  double concurrency_integral_ms = 0;
  /// When it is expected to finish.
  time_point due;
  /// When the planner gives it up.
  time_point give_up_at;

  bool operator==(const planned_load&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLANNED_LOAD_HPP
