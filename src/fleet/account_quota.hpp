#ifndef BORAGEHILL_FLEET_ACCOUNT_QUOTA_HPP
#define BORAGEHILL_FLEET_ACCOUNT_QUOTA_HPP

#include "fleet/request_fields.hpp"

namespace boragehill::fleet {

/// What a client account may use, over all routers together.
struct account_quota {
  enum class unit { requests, tokens };

  unit counted = unit::requests;
  /// Tokens that a request counts as if it doesn't tell.
  double default_tokens = 1;
  /// Units a second; 0 for no limit.
  double per_second = 0;
  /// Units beyond that at once.
  double burst = 0;

  bool operator==(const account_quota&) const = default;

  bool is_limited() const { return this->per_second > 0; }

  /// \return The units that a request counts.
  double cost_of(const request_fields& request) const {
    if (this->counted == unit::requests) return 1;
    const double tokens =
        static_cast<double>(request.prompt_tokens) + request.output_tokens;
    return tokens > 0 ? tokens : this->default_tokens;
  }
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_ACCOUNT_QUOTA_HPP
