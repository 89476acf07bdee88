#ifndef BORAGEHILL_SERVE_QUOTA_LIMITS_HPP
#define BORAGEHILL_SERVE_QUOTA_LIMITS_HPP

#include <vector>

#include "decide/quota_limit.hpp"

namespace boragehill::fleet {
struct catalog;
}

namespace boragehill::serve {

/// \return The quotas of the client accounts that have one.
std::vector<decide::quota_limit> quota_limits_of(const fleet::catalog& catalog);

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_QUOTA_LIMITS_HPP
