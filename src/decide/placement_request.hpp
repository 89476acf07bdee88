#ifndef BORAGEHILL_DECIDE_PLACEMENT_REQUEST_HPP
#define BORAGEHILL_DECIDE_PLACEMENT_REQUEST_HPP

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <boragehill/checkpoint_tier.hpp>

namespace boragehill::decide {

/// A backend server as placing one model sees it.
struct server_view {
  std::string id;
  std::string failure_domain;
  std::string region;
  std::string pool;
  std::uint64_t capacity_bytes = 0;
  std::uint64_t free_bytes = 0;
  /// The sum of all grants there; may exceed the capacity.
  std::uint64_t granted_bytes = 0;
  bool draining = false;
  bool suspected = false;
  /// Where it would load this model's checkpoint from.
  checkpoint_tier tier = checkpoint_tier::remote;

  bool operator==(const server_view&) const = default;
};

/// What to decide: where one model's grants should stand.
struct placement_request {
  std::string model;
  std::uint64_t bytes = 0;
  /// Grants wanted on servers that take new work.
  std::uint32_t wanted = 1;
  /// The most grants in all, those on draining or suspected servers included.
  std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
  /// Only servers of this pool; empty for any.
  std::string pool;
  /// The servers that hold a grant now.
  std::vector<std::string> current;
  std::vector<server_view> servers;

  bool operator==(const placement_request&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLACEMENT_REQUEST_HPP
