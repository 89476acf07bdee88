#ifndef BORAGEHILL_DECIDE_PLANNER_NAME_LIST_HPP
#define BORAGEHILL_DECIDE_PLANNER_NAME_LIST_HPP

#include <algorithm>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide::detail {

/// Returns whether a list contains a name.
inline bool contains_name(const std::vector<std::string>& names,
                          const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// Removes every occurrence of a name from a list.
inline void remove_name(std::vector<std::string>& names,
                        const std::string& name) {
  names.erase(std::remove(names.begin(), names.end(), name), names.end());
}

}  // namespace boragehill::decide::detail

#endif  // BORAGEHILL_DECIDE_PLANNER_NAME_LIST_HPP
