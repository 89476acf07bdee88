#ifndef BORAGEHILL_DECIDE_NAME_LIST_HPP
#define BORAGEHILL_DECIDE_NAME_LIST_HPP

#include <algorithm>
#include <string>
#include <vector>

namespace boragehill::decide {

/// Returns whether a list contains a name.
inline bool contains(const std::vector<std::string>& list,
                     const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_NAME_LIST_HPP
