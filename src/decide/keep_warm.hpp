#ifndef BORAGEHILL_DECIDE_KEEP_WARM_HPP
#define BORAGEHILL_DECIDE_KEEP_WARM_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Ski-rental (break-even) rule: keeps a model loaded until the weighted idle
/// time equals the weighted time of another load. The cost is at most twice
/// that of an optimal choice made with knowledge of the next request.
struct break_even_rule {
  double cold_start_weight = 1.0;
  double idle_weight = 1.0;

  bool operator==(const break_even_rule&) const = default;
};

/// Keeps every model loaded for the same time.
struct fixed_timer_rule {
  milliseconds keep_warm{0};

  bool operator==(const fixed_timer_rule&) const = default;
};

/// Keeps a model loaded for a quantile of the gaps between its requests.
struct histogram_rule {
  double quantile = 0.9;
  /// Upper limit; also the time used until enough gaps were counted.
  milliseconds max_keep_warm{0};

  bool operator==(const histogram_rule&) const = default;
};

/// How a home determines a model's keep-warm time.
using keep_warm_rule =
    std::variant<break_even_rule, fixed_timer_rule, histogram_rule>;

/// Histogram of the gaps between one model's requests; bucket i counts gaps of
/// up to 2^i ms, the last one also all longer gaps.
class gap_histogram {
 public:
  /// Counts a gap between the end of one request and the start of the next.
  void add(milliseconds gap);
  std::uint64_t count() const { return this->total; }
  /// Returns the upper bound of the bucket that contains a quantile.
  ///
  /// \param fraction The quantile, from 0 to 1.
  milliseconds quantile(double fraction) const;

 private:
  static constexpr std::size_t bucket_count = 32;
  std::array<std::uint32_t, bucket_count> bucket_counts{};
  std::uint64_t total = 0;
};

/// Returns how long an idle replica stays loaded after its last request.
///
/// \param rule The rule and its weights.
/// \param load_time Time to load the model again.
/// \param gaps Gaps between the model's requests so far.
milliseconds keep_warm_time(const keep_warm_rule& rule, milliseconds load_time,
                            const gap_histogram& gaps);

/// Returns whether an idle replica is past its keep-warm time.
///
/// \param keep_warm Its keep-warm time; negative: it never expires.
/// \param last_used When its last request ended.
/// \param now The current time.
bool is_past_keep_warm(milliseconds keep_warm, time_point last_used,
                       time_point now);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_KEEP_WARM_HPP
