#include "serve/quota_limits.hpp"

#include "fleet/catalog.hpp"

namespace boragehill::serve {

std::vector<decide::quota_limit> quota_limits_of(
    const fleet::catalog& catalog) {
  std::vector<decide::quota_limit> limits;
  for (const auto& each : catalog.accounts.all()) {
    if (!each.quota.is_limited()) continue;
    limits.push_back({.account = each.name,
                      .per_second = each.quota.per_second,
                      .burst = each.quota.burst});
  }
  return limits;
}

}  // namespace boragehill::serve
