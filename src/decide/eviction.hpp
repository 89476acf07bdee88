#ifndef BORAGEHILL_DECIDE_EVICTION_HPP
#define BORAGEHILL_DECIDE_EVICTION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// An idle replica or adapter that a load may push out.
struct eviction_candidate {
  std::string name;
  /// What its unload frees, adapters included.
  std::uint64_t bytes = 0;
  time_point last_used{};
  /// Its keep-warm time, which carries the weights of its profile; negative
  /// for one that is kept loaded for as long as its grant stands.
  milliseconds keep_warm{0};
  /// What another load would take, by the tier of its checkpoint.
  milliseconds reload{0};

  bool operator==(const eviction_candidate&) const = default;
};

/// Returns the expected cost of evicting a candidate, in milliseconds of
/// waiting: its reload time, times the chance of a next request, which falls
/// with the idle time measured against the keep-warm time.
double expected_loss(const eviction_candidate& candidate, time_point now);

/// Picks the replica to unload first so that `needed` bytes come free at the
/// least expected loss.
///
/// \param candidates Idle ones only.
/// \param needed Bytes that must come free; more than 0.
/// \param now The time.
/// \return Its name; nothing if all of them together do not free enough.
std::optional<std::string> choose_victim(
    const std::vector<eviction_candidate>& candidates, std::uint64_t needed,
    time_point now);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_EVICTION_HPP
