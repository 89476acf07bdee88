#ifndef BORAGEHILL_DECIDE_VERSION_BINDING_HPP
#define BORAGEHILL_DECIDE_VERSION_BINDING_HPP

#include <string>
#include <variant>

namespace boragehill::decide {

/// No event has been written yet; a server of any version may begin.
struct any_version {
  bool operator==(const any_version&) const = default;
};

/// A stream has begun at this software version and goes on there alone: what
/// two versions write doesn't fit together.
struct only_version {
  std::string software;

  bool operator==(const only_version&) const = default;
};

/// A stream has begun, and the planner is asked at which version.
struct awaited_version {
  bool operator==(const awaited_version&) const = default;
};

/// A stream has begun, and nobody knows at which version.
struct unknown_version {
  bool operator==(const unknown_version&) const = default;
};

/// Which servers may write the next event of a response.
using version_binding =
    std::variant<any_version, only_version, awaited_version, unknown_version>;

/// \return True if a server of this software version may get the request.
bool allows(const version_binding& binding, const std::string& software);

/// \return True if not all versions may get the request.
bool is_bound(const version_binding& binding);

/// \return True if the binding lets no server get the request for now.
bool is_awaited(const version_binding& binding);

/// \return True if no server will ever get the request.
bool is_unknown(const version_binding& binding);

/// \return The version that the request is bound to; empty if it is bound to
///     none.
std::string bound_software(const version_binding& binding);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_VERSION_BINDING_HPP
