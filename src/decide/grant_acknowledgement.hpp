#ifndef BORAGEHILL_DECIDE_GRANT_ACKNOWLEDGEMENT_HPP
#define BORAGEHILL_DECIDE_GRANT_ACKNOWLEDGEMENT_HPP

#include <cstdint>

namespace boragehill::decide {

/// An agent's word that it gave one grant up: it unloaded the model and will
/// not load it again under that grant.
struct grant_acknowledgement {
  /// The agent's fencing number.
  std::uint64_t fence = 0;
  /// The grant's serial.
  std::uint64_t serial = 0;

  bool operator==(const grant_acknowledgement&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_GRANT_ACKNOWLEDGEMENT_HPP
