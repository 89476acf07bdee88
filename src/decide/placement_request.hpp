#ifndef BORAGEHILL_DECIDE_PLACEMENT_REQUEST_HPP
#define BORAGEHILL_DECIDE_PLACEMENT_REQUEST_HPP

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <boragehill/checkpoint_tier.hpp>

namespace boragehill::decide {

/// A backend server as input to the placement of one model.
struct placement_server {
  std::string id;
  std::string failure_domain;
  std::string region;
  std::string pool;
  std::uint64_t capacity_bytes = 0;
  std::uint64_t free_bytes = 0;
  /// Memory of all models granted to it; may exceed the capacity.
  std::uint64_t granted_bytes = 0;
  bool draining = false;
  bool suspected = false;
  /// The tier that it would load the model's checkpoint from.
  checkpoint_tier tier = checkpoint_tier::remote;

  bool operator==(const placement_server&) const = default;
};

/// Input of `choose_grant_servers`: one model, its grants and the servers.
struct placement_request {
  std::string model;
  std::uint64_t bytes = 0;
  /// Wanted number of grants on servers that accept new requests.
  std::uint32_t wanted_grants = 1;
  /// Maximum number of grants, including those on draining or suspected
  /// servers.
  std::uint32_t max_grants = std::numeric_limits<std::uint32_t>::max();
  /// Restricts the choice to servers of this pool; empty for any.
  std::string pool;
  /// Ids of the servers that hold a grant.
  std::vector<std::string> granted_servers;
  std::vector<placement_server> servers;

  bool operator==(const placement_request&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLACEMENT_REQUEST_HPP
