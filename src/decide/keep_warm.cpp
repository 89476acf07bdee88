#include "decide/keep_warm.hpp"

#include <algorithm>
#include <cmath>

namespace boragehill::decide {

namespace {

constexpr std::uint64_t min_gap_samples = 8;
constexpr milliseconds keep_warm_limit = std::chrono::hours(24);

struct keep_warm_visitor {
  milliseconds load_time;
  const gap_histogram& gaps;

  milliseconds operator()(const break_even_rule& rule) const {
    if (rule.idle_weight <= 0) return keep_warm_limit;
    const double ratio =
        std::max(rule.cold_start_weight, 0.0) / rule.idle_weight;
    const double time_ms = ratio * static_cast<double>(this->load_time.count());
    const auto limit_ms = static_cast<double>(keep_warm_limit.count());
    return milliseconds(std::llround(std::min(time_ms, limit_ms)));
  }

  milliseconds operator()(const fixed_timer_rule& rule) const {
    return rule.keep_warm;
  }

  milliseconds operator()(const histogram_rule& rule) const {
    if (this->gaps.count() < min_gap_samples) return rule.max_keep_warm;
    return std::min(this->gaps.quantile(rule.quantile), rule.max_keep_warm);
  }
};

}  // namespace

void gap_histogram::add(milliseconds gap) {
  std::size_t bucket = 0;
  while (bucket + 1 < bucket_count &&
         (std::int64_t{1} << bucket) < gap.count()) {
    ++bucket;
  }
  ++this->bucket_counts.at(bucket);
  ++this->total;
}

milliseconds gap_histogram::quantile(double fraction) const {
  const double target_count = fraction * static_cast<double>(this->total);
  std::uint64_t counted = 0;
  std::size_t bucket = 0;
  for (; bucket + 1 < bucket_count; ++bucket) {
    counted += this->bucket_counts.at(bucket);
    if (static_cast<double>(counted) >= target_count) break;
  }
  return milliseconds(std::int64_t{1} << bucket);
}

milliseconds keep_warm_time(const keep_warm_rule& rule, milliseconds load_time,
                            const gap_histogram& gaps) {
  return std::visit(keep_warm_visitor{load_time, gaps}, rule);
}

bool is_past_keep_warm(milliseconds keep_warm, time_point last_used,
                       time_point now) {
  if (keep_warm < milliseconds(0)) return false;
  return now - last_used >= keep_warm;
}

}  // namespace boragehill::decide
