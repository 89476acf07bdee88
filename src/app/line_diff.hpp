#ifndef BORAGEHILL_APP_LINE_DIFF_HPP
#define BORAGEHILL_APP_LINE_DIFF_HPP

#include <string>

namespace boragehill::app {

/// Returns the lines of two texts, those only in the first after "-", those
/// only in the second after "+", the common ones after a space.
std::string line_diff(const std::string& before, const std::string& after);

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_LINE_DIFF_HPP
