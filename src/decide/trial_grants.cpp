#include "decide/trial_grants.hpp"

namespace boragehill::decide {

std::vector<std::string> trial_grants::grant(
    const std::vector<std::string>& wanted, time_point now) {
  std::erase_if(this->granted_at, [now](const auto& each) {
    return now - each.second >= interval;
  });
  std::vector<std::string> granted;
  for (const auto& each : wanted) {
    if (this->granted_at.emplace(each, now).second) granted.push_back(each);
  }
  return granted;
}

}  // namespace boragehill::decide
