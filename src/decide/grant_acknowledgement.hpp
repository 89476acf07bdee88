#ifndef BORAGEHILL_DECIDE_GRANT_ACKNOWLEDGEMENT_HPP
#define BORAGEHILL_DECIDE_GRANT_ACKNOWLEDGEMENT_HPP

#include <cstdint>

namespace boragehill::decide {

/// Confirms that an agent gave up a grant: it unloaded the model and will not
/// load it again under this grant.
struct grant_acknowledgement {
  /// Fencing number of the agent.
  std::uint64_t fence = 0;
  /// Serial of the grant.
  std::uint64_t serial = 0;

  bool operator==(const grant_acknowledgement&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_GRANT_ACKNOWLEDGEMENT_HPP
