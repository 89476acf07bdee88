#include "decide/stream_keeper_choice.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace boragehill::decide {

std::vector<std::size_t> choose_stream_keepers(
    const std::vector<stream_keeper_candidate>& candidates,
    std::size_t missing) {
  std::set<std::string> covered;
  std::set<std::size_t> free;
  for (std::size_t each = 0; each < candidates.size(); ++each) {
    if (candidates[each].keeps) {
      covered.insert(candidates[each].failure_domain);
    } else if (candidates[each].may_begin) {
      free.insert(each);
    }
  }
  std::vector<std::size_t> chosen;
  while (chosen.size() < missing && !free.empty()) {
    auto next = std::find_if(free.begin(), free.end(), [&](std::size_t each) {
      return !covered.contains(candidates[each].failure_domain);
    });
    if (next == free.end()) next = free.begin();
    chosen.push_back(*next);
    covered.insert(candidates[*next].failure_domain);
    free.erase(next);
  }
  return chosen;
}

}  // namespace boragehill::decide
