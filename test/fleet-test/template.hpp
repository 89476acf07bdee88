#ifndef BORAGEHILL_FLEET_TEST_TEMPLATE_HPP
#define BORAGEHILL_FLEET_TEST_TEMPLATE_HPP

#include <map>
#include <string>

namespace boragehill::fleet_test {

/// Fills in a settings template as the platform does.
/// \param text With names in double braces, and sections `{{#name}}` to
///     `{{/name}}` that stay if the name has a value.
/// \param values The values by name; a name without one becomes empty.
std::string filled(std::string text,
                   const std::map<std::string, std::string>& values);

/// \return The whole of a file of the deploy folder.
std::string deploy_file(const std::string& name);

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_TEMPLATE_HPP
