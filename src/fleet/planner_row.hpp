#ifndef BORAGEHILL_FLEET_PLANNER_ROW_HPP
#define BORAGEHILL_FLEET_PLANNER_ROW_HPP

#include <cstdint>
#include <string>

#include <boragehill/endpoint.hpp>

namespace boragehill::fleet {

/// Which router plans the residency of models, as it stands in the store.
struct planner_row {
  /// Increases with each change of planner; 0 if there never was one.
  std::int64_t term = 0;
  /// Guards the write that replaces the row; 0 if there is none yet.
  std::int64_t version = 0;
  /// The router's id.
  std::string router;
  /// Where its planner listens for routers.
  endpoint address;

  bool operator==(const planner_row&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_PLANNER_ROW_HPP
