#ifndef BORAGEHILL_ROUTER_PROFILE_TOML_HPP
#define BORAGEHILL_ROUTER_PROFILE_TOML_HPP

#include <string>
#include <vector>

#include <boragehill/profile.hpp>

#include "kernel/settings_problem.hpp"

namespace boragehill::router {

/// A profile read from an operator's TOML, and what is wrong with it.
struct profile_draft {
  profile draft;
  /// Empty if the profile may be published.
  std::vector<kernel::settings_problem> problems;
};

/// Reads and checks a profile.
///
///     [profile]
///     name = "quotes"
///     services = ["assistant"]
///     [[model]]
///     name = "valves-70b"
///     bytes = 70000000000
///
/// \param text The TOML text.
/// \param file The name that problems show.
/// \return The draft with every problem found.
profile_draft read_profile(const std::string& text, const std::string& file);

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_PROFILE_TOML_HPP
