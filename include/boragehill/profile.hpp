#ifndef BORAGEHILL_PROFILE_HPP
#define BORAGEHILL_PROFILE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/once_rule.hpp>
#include <boragehill/profile_model.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill {

/// What a service may use and how long its callers wait; published by an
/// operator, picked by callers through the X-Service header.
struct profile {
  std::string name;
  /// The global revision that brought this profile in force.
  std::uint64_t revision = 0;
  std::vector<std::string> services;
  std::vector<profile_model> models;
  /// Pools of plain services.
  std::vector<std::string> pools;
  std::vector<once_rule> non_idempotent;
  milliseconds max_wait{30000};
  /// Higher goes first at equal deadlines.
  std::int32_t priority = 0;
  /// Weights of the two measures in what stays warm.
  double cold_start_weight = 1.0;
  double idle_weight = 1.0;

  bool operator==(const profile&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_PROFILE_HPP
