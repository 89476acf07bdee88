#ifndef BORAGEHILL_DECIDE_KEEP_WARM_HPP
#define BORAGEHILL_DECIDE_KEEP_WARM_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Ski-rental break-even: stays loaded until the weighted idle time has cost
/// as much as the weighted wait of another load, which bounds the cost by twice
/// that of knowing the next request.
struct break_even_rule {
  double cold_start_weight = 1.0;
  double idle_weight = 1.0;

  bool operator==(const break_even_rule&) const = default;
};

/// The same time for every model.
struct fixed_timer_rule {
  milliseconds time{0};

  bool operator==(const fixed_timer_rule&) const = default;
};

/// Stays loaded for as long as this share of the model's gaps lasted.
struct histogram_rule {
  double share = 0.9;
  /// Used until enough gaps were seen, and the limit of the time.
  milliseconds most{0};

  bool operator==(const histogram_rule&) const = default;
};

/// How a home chooses a model's keep-warm time.
using keep_warm_rule =
    std::variant<break_even_rule, fixed_timer_rule, histogram_rule>;

/// The gaps between one model's requests, in classes that double.
class gap_histogram {
 public:
  /// Counts one gap between the end of a request and the next.
  void add(milliseconds gap);
  /// Returns how many gaps were counted.
  std::uint64_t count() const { return this->total; }
  /// Returns the upper bound of the class that holds the share's quantile.
  milliseconds quantile(double share) const;

 private:
  static constexpr std::size_t classes = 32;
  std::array<std::uint32_t, classes> counts{};
  std::uint64_t total = 0;
};

/// Returns how long an idle replica stays loaded after its last request.
///
/// \param rule The rule and its weights.
/// \param load What another load would take.
/// \param gaps The model's gaps so far.
milliseconds keep_warm_time(const keep_warm_rule& rule, milliseconds load,
                            const gap_histogram& gaps);

/// Returns whether an idle replica is past its keep-warm time.
///
/// \param keep_warm Negative for one that stays while its grant stands.
/// \param last_used When its last request ended.
/// \param now The time.
bool past_keep_warm(milliseconds keep_warm, time_point last_used,
                    time_point now);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_KEEP_WARM_HPP
