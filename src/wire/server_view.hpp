#ifndef BORAGEHILL_WIRE_SERVER_VIEW_HPP
#define BORAGEHILL_WIRE_SERVER_VIEW_HPP

#include <optional>
#include <string>
#include <vector>

#include "fleet/resident_model.hpp"

namespace boragehill::wire {

/// What the planner tells a router of one model worker.
struct server_view {
  std::string server;
  /// Models that it holds and keeps, with their adapters; nothing if they are
  /// as last told.
  std::optional<std::vector<fleet::resident_model>> models;
  /// Requests that other routers have there.
  int other_requests = 0;

  bool operator==(const server_view&) const = default;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_SERVER_VIEW_HPP
