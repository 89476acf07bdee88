#ifndef BORAGEHILL_WIRE_VIEW_UPDATE_HPP
#define BORAGEHILL_WIRE_VIEW_UPDATE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/quota_grants.hpp"
#include "decide/rate_limit.hpp"
#include "decide/rate_limit_tokens.hpp"
#include "decide/slot_grant.hpp"
#include "decide/stream_origin.hpp"
#include "wire/expected_model.hpp"
#include "wire/server_view.hpp"

namespace boragehill::wire {

/// From the planner to a router: workers whose view changed since the last
/// update on this link. The first one on a link is whole.
struct view_update {
  /// The planner's term; a router ignores an older one.
  std::int64_t term = 0;
  /// Routers that have told the planner of themselves.
  int routers = 0;
  bool whole = false;
  std::vector<server_view> servers;
  /// Models that requests of this router wait for and that stand nowhere; all
  /// of them each time.
  std::vector<expected_model> expected;
  /// All requests that crash servers; nothing if they are as last told.
  std::optional<std::vector<std::string>> quarantined_requests;
  /// All requests that may do so, each with the time since the first crash that
  /// counts against it; nothing if they are as last told.
  std::optional<std::map<std::string, milliseconds>> suspected_requests;
  /// Suspected requests of which this router may send one copy each.
  std::vector<std::string> trials;
  /// All parts of prompts that crash servers; nothing if they are as last told.
  std::optional<std::vector<std::string>> quarantined_parts;
  /// All parts that may do so, each with the time since the first crash that
  /// counts against it; nothing if they are as last told.
  std::optional<std::map<std::string, milliseconds>> suspected_parts;
  /// All rate limits by server; nothing if they are as last told.
  std::optional<std::map<std::string, decide::rate_limit>> rate_limits;
  /// Tokens granted to this router since the last update.
  std::vector<decide::rate_limit_tokens> tokens;
  /// Of the quotas of client accounts; nothing if there is no news of them.
  std::optional<decide::quota_grants> quota_grants;
  /// Streams that this router asked for or keeps for the next planner.
  std::map<std::string, decide::stream_origin> streams;
  /// Streams that it asked for and that the planner doesn't know.
  std::vector<std::string> unknown_streams;
  /// Slots granted to this router, and their round; 0 if there are none.
  std::vector<decide::slot_grant> grants;
  std::uint64_t grant_round = 0;

  bool tells_of_streams() const {
    return !this->streams.empty() || !this->unknown_streams.empty();
  }

  bool operator==(const view_update&) const = default;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_VIEW_UPDATE_HPP
