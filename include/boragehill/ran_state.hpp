#ifndef BORAGEHILL_RAN_STATE_HPP
#define BORAGEHILL_RAN_STATE_HPP

#include <string_view>

namespace boragehill {

/// Whether a refused request ran at a backend server. `no` is a promise.
enum class ran_state { no, unknown, yes };

/// Returns "no", "unknown" or "yes", as the `Boragehill-Ran` header says it.
constexpr std::string_view name_of(ran_state ran) noexcept {
  switch (ran) {
    case ran_state::no:
      return "no";
    case ran_state::yes:
      return "yes";
    case ran_state::unknown:
      break;
  }
  return "unknown";
}

}  // namespace boragehill

#endif  // BORAGEHILL_RAN_STATE_HPP
