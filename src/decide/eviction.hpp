#ifndef BORAGEHILL_DECIDE_EVICTION_HPP
#define BORAGEHILL_DECIDE_EVICTION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// An idle replica or adapter that may be evicted to make room for a load.
struct eviction_candidate {
  std::string name;
  /// Memory that its unload frees, including its adapters.
  std::uint64_t bytes = 0;
  time_point last_used{};
  /// Keep-warm time, which reflects the weights of its profile; negative: it is
  /// kept loaded as long as it is granted.
  milliseconds keep_warm{0};
  /// Time to load it again, by the tier of its checkpoint.
  milliseconds reload{0};

  bool operator==(const eviction_candidate&) const = default;
};

/// Returns the expected cost of an eviction, in milliseconds of waiting.
///
/// The cost is the reload time times the probability of another request, which
/// is estimated as exp(-idle time / keep-warm time).
double expected_eviction_cost_ms(const eviction_candidate& candidate,
                                 time_point now);

/// Chooses the candidate to unload first, so that `needed` bytes become free at
/// the least expected cost.
///
/// \param candidates Idle replicas and adapters.
/// \param needed Bytes to free; more than 0.
/// \param now The current time.
/// \return The name of that candidate; nothing if all candidates together free
///   too little.
std::optional<std::string> choose_eviction(
    const std::vector<eviction_candidate>& candidates, std::uint64_t needed,
    time_point now);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_EVICTION_HPP
